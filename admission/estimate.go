package admission

import (
	"math"

	"swiftcourse/internal/timewindow"
)

const (
	// runTimeMemory is the window, in seconds, over which the durations of runs are learned: some
	// tens of runs on a busy server, yet short enough to show a slow-down of a few seconds.
	runTimeMemory = 8
	// estimateBuckets is the number of buckets of a window.
	estimateBuckets = 8
	// The lowest mean or median is kept for 30 s, in six buckets.
	lowestBuckets     = 6
	lowestBucketWidth = 5
	// minSamples is the least number of durations for a median, or for a mean to be compared.
	minSamples = 4

	// minimumDecay is the fraction of its distance to the lowest value of 30 s that the minimum
	// service time loses at a tick with few ends. It gets there in about 2 s.
	minimumDecay = 0.05
	// wasteWeight and callsWeight are the weight of the latest run in a moving average of about 20.
	wasteWeight = 0.05
	callsWeight = 0.05
	// admissionWeight and intervalWeight are the weight of the latest request in a moving average
	// of about 50.
	admissionWeight = 0.02
	intervalWeight  = 0.02
	// unreadWeight is the weight of the latest request in a moving average of about 20.
	unreadWeight = 0.05
	// wasteFactor makes the minimum budget reach its full size where one run in three is wasted.
	wasteFactor = 3
	// unreadDelayDivisor is the ratio of the shortest soft deadline to the unread delay above which
	// arrivals count as backlogged.
	unreadDelayDivisor = 6
)

// durationEstimate is what is learned of the durations of runs or of calls, over a sliding window.
type durationEstimate struct {
	window *timewindow.Buckets[timewindow.Histogram]
	recent timewindow.Histogram // all of the window, as of the last refresh
	mean   float64              // of the window, or the last one known where that is empty
	lowest timewindow.Minimum   // of the values that its owner observes, over 30 s
}

func newDurationEstimate(now, memory float64) durationEstimate {
	return durationEstimate{
		window: timewindow.New[timewindow.Histogram](estimateBuckets, memory/estimateBuckets, now),
		lowest: timewindow.NewMinimum(lowestBuckets, lowestBucketWidth, now),
	}
}

func (d *durationEstimate) refresh(now float64) {
	d.recent = timewindow.Histogram{}
	d.window.ForEach(now, d.recent.Merge)
	d.mean = d.recent.Mean(d.mean)
}

// learnedClass is a request class with what was learned of it.
type learnedClass struct {
	Class
	runTime durationEstimate // time on or near a core, without calls
	// minServiceTime is the learned minimum service time: the median run time.
	minServiceTime float64
	// wastedFraction is the part of the runs whose client had left before their end.
	wastedFraction float64
	// minBudget is the time that must be left to start a request while cores are scarce.
	minBudget float64
	meanCalls float64 // calls of a run
	// admittedFraction is the part of its requests that were run rather than rejected.
	admittedFraction float64
}

// recordWaste learns from the end of a run whether it was wasted: its client had left.
func (c *learnedClass) recordWaste(wasted bool) {
	c.wastedFraction *= 1 - wasteWeight
	if wasted {
		c.wastedFraction += wasteWeight
	}
}

// recordRun learns from a run that ended.
func (c *learnedClass) recordRun(now float64, r *request) {
	c.runTime.window.Current(now).Add(r.coreTime)
	c.meanCalls += callsWeight * (float64(r.call.returned) - c.meanCalls)
}

// refresh works out the minimum service time and the means anew. stalled tells that work is
// stalled: there are no ends then because none can end, and a lower minimum would let in what can't
// end either.
func (c *learnedClass) refresh(now float64, stalled bool, meanCall float64) {
	c.runTime.refresh(now)
	if c.runTime.recent.Count >= minSamples {
		c.minServiceTime = c.runTime.recent.Median()
		c.runTime.lowest.Observe(now, c.minServiceTime)
	} else if !stalled {
		c.minServiceTime += minimumDecay * min(c.runTime.lowest.Value(now)-c.minServiceTime, 0)
	}
	// Exception to the design, for thin budgets that pass the minimum and yet run out at calls or
	// in long runs: as far as one run in three is wasted, the time at calls and a second run must
	// be left too, unless cores are free.
	surcharge := min(1, wasteFactor*c.wastedFraction) * (c.runTime.mean + c.meanCalls*meanCall)
	c.minBudget = min(c.minServiceTime+surcharge, c.Timeout/2)
}

// refreshEstimates renews what is learned of each class.
func (c *Controller) refreshEstimates() {
	c.progress.slowestMean = minSlowestMean
	for i := range c.classes {
		class := &c.classes[i]
		class.refresh(c.now, c.progress.stalled, c.downstream.callTime.mean)
		c.progress.slowestMean = max(c.progress.slowestMean, class.runTime.mean)
	}
}

// arrivalStats is what was learned of arrivals.
type arrivalStats struct {
	unreadDelay    float64 // mean delay of requests before they are read, in seconds
	maxUnreadDelay float64 // unread delay above which arrivals count as backlogged
	last           float64 // time of the last arrival
	interval       float64 // mean interval between arrivals, in seconds
	haveSubjects   bool    // requests name subjects, by which clients may choose servers
}

func newArrivalStats(settings *Settings) arrivalStats {
	stats := arrivalStats{maxUnreadDelay: math.Inf(1)}
	for i := range settings.Classes {
		stats.maxUnreadDelay = min(stats.maxUnreadDelay, settings.Classes[i].SoftDeadline/unreadDelayDivisor)
	}
	return stats
}

// record learns from the arrival of a request.
func (a *arrivalStats) record(now float64, in *Request) {
	a.unreadDelay += unreadWeight * (in.Age - a.unreadDelay)
	a.interval += intervalWeight * (now - a.last - a.interval)
	a.last = now
	a.haveSubjects = a.haveSubjects || in.HasSubject
}

// backlogged reports whether requests wait unread for too long.
func (a *arrivalStats) backlogged() bool { return a.unreadDelay > a.maxUnreadDelay }
