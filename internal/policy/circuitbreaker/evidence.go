package circuitbreaker

import "slices"

const (
	// windowSeconds is how long calls and reports count. It is less than 1 s because the fleet must
	// detect the failure of a service within 1 s. windowBuckets is the number of buckets of the
	// window.
	windowSeconds = 0.8
	windowBuckets = 4
	// minOwnCalls is the number of own calls in the window that suffices to decide without reports.
	// If 10% of the calls fail at random, half of 10 calls fail in about 1 of 1000 windows.
	minOwnCalls = 10
	// minVotes is the number of votes required to decide by the median of the votes.
	minVotes = 3
	// A service is failing if at least failingFraction of the calls fail, and down if at least
	// downFraction do.
	failingFraction = 0.5
	downFraction    = 0.9
	// A service is slow if the mean duration of successful calls exceeds slowFactor times the
	// lowest mean duration of the last 30 s.
	slowFactor = 4.0
	// baselineBuckets times baselineBucketSeconds is that period of 30 s.
	baselineBuckets       = 6
	baselineBucketSeconds = 5
)

// ownCalls returns the results of this server's calls in the window.
func (b *Breaker) ownCalls(now float64) Tally {
	var sum Tally
	b.calls.ForEach(now, func(bucket *Tally) { sum.add(*bucket) })
	return sum
}

// evidenceOf returns the evidence that follows from a tally.
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
	lowestMean := b.lowestMeanSeconds.Value(now)
	if lowestMean > 0 && tally.SuccessSeconds > slowFactor*lowestMean*float64(tally.Succeeded) {
		return slow
	}
	return healthy
}

// combinedEvidence returns the evidence by which the breaker decides: that of own calls if there
// are enough, else the median vote of the zone's servers, else that of all servers. If there are
// too few votes, or only votes of other zones while the breaker limits calls, it returns the
// evidence of the own calls.
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
		return own // the service may be healthy for other zones only
	}
	if votes := b.votes(now, own, anyServer); len(votes) >= minVotes {
		return median(votes)
	}
	return own
}

// inZone reports whether a report comes from a server of this server's zone. It is always false if
// zones are not used.
func (b *Breaker) inZone(report *Report) bool { return b.zone != "" && report.Zone == b.zone }

func anyServer(*Report) bool { return true }

// votes returns this server's own evidence, unless it is insufficient, and the evidence of each
// report for which include returns true.
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

// median returns the middle vote. Of two middle votes it returns the healthier one, because a
// failed call costs less than a breaker that opens without need. It sorts votes.
func median(votes []evidence) evidence {
	slices.Sort(votes)
	return votes[(len(votes)-1)/2]
}
