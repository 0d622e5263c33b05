package circuitbreaker

import "slices"

const (
	// windowSeconds is for how long calls count, and windowBuckets in how many parts: the fleet has to know
	// of a service within a second of its failure.
	windowSeconds = 0.8
	windowBuckets = 4
	// minOwnCalls in the window decide alone: with one in ten lost by chance, ten calls say that half of
	// them are lost once in a thousand windows.
	minOwnCalls = 10
	// minVotes is how many votes are needed where there are fewer own calls.
	minVotes = 3
	// failingFraction of calls lost is failing, downFraction is down.
	failingFraction = 0.5
	downFraction    = 0.9
	// slowFactor is how many times the least mean of half a minute slow calls take.
	slowFactor = 4.0
	// baselineBuckets of baselineBucketSeconds each are that half minute.
	baselineBuckets       = 6
	baselineBucketSeconds = 5
)

// ownCalls are this server's in the window.
func (b *Breaker) ownCalls(now float64) Tally {
	var sum Tally
	b.calls.ForEach(now, func(bucket *Tally) { sum.add(*bucket) })
	return sum
}

// evidenceOf is what a tally says.
func (b *Breaker) evidenceOf(now float64, tally *Tally) evidence {
	calls := float64(tally.calls())
	failed := float64(tally.Failed)
	switch {
	case calls == 0:
		return insufficient
	case failed >= downFraction*calls:
		return down
	case failed >= failingFraction*calls:
		return failing
	}
	fastest := b.fastestMean.Value(now)
	if fastest > 0 && tally.SuccessSeconds > slowFactor*fastest*float64(tally.Succeeded) {
		return slow
	}
	return healthy
}

// evidence combines own calls and others' reports.
func (b *Breaker) evidence(now float64) evidence {
	ownCalls := b.ownCalls(now)
	own := b.evidenceOf(now, &ownCalls)
	if ownCalls.calls() >= minOwnCalls {
		return own
	}
	b.expireReports(now)
	if votes := b.votes(now, own, b.inZone); len(votes) >= minVotes {
		return median(votes)
	}
	if b.zone != "" && b.state != Closed && b.state != Degraded {
		return own // the service may be well for other zones, and yet not for this one
	}
	if votes := b.votes(now, own, anyServer); len(votes) >= minVotes {
		return median(votes)
	}
	return own
}

// inZone reports whether a report comes from this server's zone; false where zones aren't used.
func (b *Breaker) inZone(report *Report) bool { return b.zone != "" && report.Zone == b.zone }

func anyServer(*Report) bool { return true }

// votes are this server's own evidence, if it has any, and that of the picked reports.
func (b *Breaker) votes(now float64, own evidence, picked func(*Report) bool) []evidence {
	var votes []evidence
	if own != insufficient {
		votes = append(votes, own)
	}
	for _, report := range b.reports {
		if report.Tally.calls() >= minReportCalls && !report.expired(now) && picked(&report.Report) {
			votes = append(votes, b.evidenceOf(now, &report.Tally))
		}
	}
	return votes
}

// median returns the middle vote, of an even number the better one: a call in vain costs less than a
// breaker that opens for nothing. It sorts votes.
func median(votes []evidence) evidence {
	slices.Sort(votes)
	return votes[(len(votes)-1)/2]
}
