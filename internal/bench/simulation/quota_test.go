package simulation

import "testing"

func TestRunQuota_LimitHoldsAndIsUsed(t *testing.T) {
	for seed := range uint64(2) {
		row := RunQuota(&QuotaPlan{Servers: 20, Voters: 3, Seconds: 15, Seed: seed + 1})
		if row.MaxOverspend > 0 {
			t.Errorf("seed %d: %.3f over the budget", row.Seed, row.MaxOverspend)
		}
		if row.UsedShare < 0.95 || row.UsedShareCut < 0.8 || row.UsedShareHealed < 0.95 || row.EvenSplitShare > 0.8 {
			t.Errorf("seed %d: %.3f used, %.3f with a third silent, %.3f after the faults, %.3f by dividing",
				row.Seed, row.UsedShare, row.UsedShareCut, row.UsedShareHealed, row.EvenSplitShare)
		}
		if row.CutOffService < quotaFloorFraction || row.ShiftMillis > 1000 {
			t.Errorf("seed %d: the silent serve %.3f of what they did, a jump took %.0f ms",
				row.Seed, row.CutOffService, row.ShiftMillis)
		}
	}
}
