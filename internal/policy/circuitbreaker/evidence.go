package circuitbreaker

import "slices"

const (
	// windowSeconds is how long calls and reports count: the fleet has to detect the failure of a service
	// within a second. windowBuckets is the number of buckets of that window.
	windowSeconds = 0.8
	windowBuckets = 4
	// minOwnCalls is how many own calls in the window decide without reports. If one call in ten fails by
	// chance, half of ten calls fail in about one window of a thousand.
	minOwnCalls = 10
	// minVotes is how many votes are needed if there are fewer own calls.
	minVotes = 3
	// failingFraction is the part of calls that fail from which a service is failing, and downFraction that
	// from which it is down.
	failingFraction = 0.5
	downFraction    = 0.9
	// slowFactor times the least mean duration of the last half minute is the mean from which calls are slow.
	slowFactor = 4.0
	// baselineBuckets times baselineBucketSeconds is that half minute.
	baselineBuckets       = 6
	baselineBucketSeconds = 5
)

// ownCalls returns the tally of this server's calls in the window.
func (b *Breaker) ownCalls(now float64) Tally {
	var sum Tally
	b.calls.ForEach(now, func(bucket *Tally) { sum.add(*bucket) })
	return sum
}

// evidenceOf classifies a tally.
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

// combinedEvidence combines the own calls and the reports of other servers. It prefers, in this order, enough
// own calls, the votes of the zone, and the votes of all servers.
func (b *Breaker) combinedEvidence(now float64) evidence {
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
		return own // the service may be healthy for other zones and not for this one
	}
	if votes := b.votes(now, own, anyServer); len(votes) >= minVotes {
		return median(votes)
	}
	return own
}

// inZone reports whether a report comes from this server's zone. It is false if zones are not used.
func (b *Breaker) inZone(report *Report) bool { return b.zone != "" && report.Zone == b.zone }

func anyServer(*Report) bool { return true }

// votes returns this server's own evidence, if it has any, and that of the reports that include selects.
func (b *Breaker) votes(now float64, own evidence, include func(*Report) bool) []evidence {
	var votes []evidence
	if own != insufficient {
		votes = append(votes, own)
	}
	for _, report := range b.reports {
		if report.Tally.calls() >= minReportCalls && !report.expired(now) && include(&report.Report) {
			votes = append(votes, b.evidenceOf(now, &report.Tally))
		}
	}
	return votes
}

// median returns the middle vote, or the healthier of the two middle ones: a call that fails costs
// less than a breaker that opens without need. It sorts votes.
func median(votes []evidence) evidence {
	slices.Sort(votes)
	return votes[(len(votes)-1)/2]
}
