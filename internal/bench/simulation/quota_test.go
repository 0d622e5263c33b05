package simulation

import "testing"

func TestRunQuota_LimitHoldsAndIsUsed(t *testing.T) {
	for seed := range uint64(2) {
		r := RunQuota(&QuotaPlan{Servers: 20, Voters: 3, Seconds: 15, Seed: seed + 1})
		if r.MaxOverspend > 0 {
			t.Errorf("seed %d: %.3f over the budget", r.Seed, r.MaxOverspend)
		}
		if r.UsedShare < 0.95 || r.UsedShareCut < 0.8 || r.UsedShareHealed < 0.95 || r.EvenSplitShare > 0.8 {
			t.Errorf("seed %d: %.3f used, %.3f with a third silent, %.3f after the faults, %.3f by dividing",
				r.Seed, r.UsedShare, r.UsedShareCut, r.UsedShareHealed, r.EvenSplitShare)
		}
		if r.CutOffService < quotaFloorFraction || r.ShiftMillis > 1000 {
			t.Errorf("seed %d: the silent serve %.3f of what they did, a jump took %.0f ms",
				r.Seed, r.CutOffService, r.ShiftMillis)
		}
	}
}
