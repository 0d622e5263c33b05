package simulation

import "testing"

func TestRunQuota_LimitIsUsedAndNotExceeded(t *testing.T) {
	for seed := range uint64(2) {
		row := RunQuota(&QuotaPlan{Servers: 20, Voters: 3, Seconds: 15, Seed: seed + 1})
		if row.MaxOverspend > 0 {
			t.Errorf("seed %d: %.3f of the quota used in excess, want 0", row.Seed, row.MaxOverspend)
		}
		if row.UsedShare < 0.95 || row.UsedShareCut < 0.8 || row.UsedShareHealed < 0.95 || row.EvenSplitShare > 0.8 {
			t.Errorf("seed %d: used share %.3f, %.3f with a third partitioned, %.3f after the faults, "+
				"%.3f with an even split; want at least 0.95, 0.8 and 0.95, at most 0.8",
				row.Seed, row.UsedShare, row.UsedShareCut, row.UsedShareHealed, row.EvenSplitShare)
		}
		if row.CutOffService < quotaFloorFraction || row.ShiftMillis > 1000 {
			t.Errorf("seed %d: partitioned servers serve %.3f of their previous usage, want at least %.3f; "+
				"a shift of demand took %.0f ms, want at most 1000",
				row.Seed, row.CutOffService, quotaFloorFraction, row.ShiftMillis)
		}
	}
}
