package report

import (
	"slices"
)

// RolloutCounts are the counts common to all experiments with rollouts, both simulated and with
// processes. It is embedded in their rows.
type RolloutCounts struct {
	Seed               uint64 `json:"seed"`
	Servers            int    `json:"servers"`
	Releases           int    `json:"releases"`
	Faults             int    `json:"faults"`
	ConflictingDigests int    `json:"epochs_with_two_digests"` // epochs with more than one digest
	ServedWhileEjected int    `json:"acted_while_shut_out"`    // violations: an ejected server kept serving
}

// CatchUpLatency summarizes the times, in milliseconds, from the release of a version to all
// servers until each server applied it. It is embedded in the rows of experiments with rollouts.
type CatchUpLatency struct {
	CatchUpP50 float64 `json:"catch_up_p50_ms"`
	CatchUpP99 float64 `json:"catch_up_p99_ms"`
	CatchUpMax float64 `json:"catch_up_max_ms"`
}

// NewCatchUpLatency sorts samples in milliseconds and returns their quantiles, or zeros if there
// are no samples.
func NewCatchUpLatency(samples []float64) CatchUpLatency {
	slices.Sort(samples)
	count := len(samples)
	if count == 0 {
		return CatchUpLatency{}
	}
	return CatchUpLatency{
		CatchUpP50: samples[count/2],
		CatchUpP99: samples[min(count-1, count*99/100)],
		CatchUpMax: samples[count-1],
	}
}
