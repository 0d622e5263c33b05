package admission

import (
	"math"

	"swiftcourse/internal/timewindow"
)

const (
	// runTimeMemory is over how many seconds the durations of runs are learned: some tens of runs
	// on a busy server, yet a slow-down of a few seconds still shows.
	runTimeMemory = 8
	// estimateBuckets is in how many buckets that time is divided.
	estimateBuckets = 8
	// The lowest mean or median is that of 30 s, in six buckets.
	lowestBuckets     = 6
	lowestBucketWidth = 5
	// minSamples is the least number of durations whose median or mean tells something.
	minSamples = 4

	// minimumDecay is how much of the way to the lowest value of 30 s the minimum service time goes
	// at a tick with few ends: about 2 s for all of it.
	minimumDecay = 0.05
	// wasteWeight and callsWeight are of the latest run: the last 20 tell.
	wasteWeight = 0.05
	callsWeight = 0.05
	// admissionWeight and intervalWeight are of the latest request: the last 50 or so tell.
	admissionWeight = 0.02
	intervalWeight  = 0.02
	// unreadWeight is of the latest request: the last 20 tell.
	unreadWeight = 0.05
	// wasteFactor has one wasted run in three count in full.
	wasteFactor = 3
)

// durationEstimate is what the last seconds taught of durations, of runs or of calls.
type durationEstimate struct {
	window *timewindow.Buckets[timewindow.Histogram]
	recent timewindow.Histogram // all of the window, as of the last refresh
	mean   float64              // of the window, or the last known where that is empty
	lowest timewindow.Minimum   // of 30 s; of what is for the user to say
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

// learnedClass is a request class and what was learned of it.
type learnedClass struct {
	Class
	runTime durationEstimate // of the runs' own time, without calls
	// minServiceTime is the learned minimum service time: a typical run's own time.
	minServiceTime float64
	// wastedFraction is the part of the runs whose client had left before their end.
	wastedFraction float64
	// minBudget is what must be left of a request's time to start it.
	minBudget float64
	meanCalls float64 // calls of a run
	// admittedFraction is the part of its requests that were run rather than rejected.
	admittedFraction float64
}

// recordWaste learns whether a run ended after its client had left.
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
	unreadDelay    float64 // mean seconds for which requests lately waited before they were read
	maxUnreadDelay float64 // that counts as a backlog: a sixth of the shortest soft deadline
	last           float64 // when one was last read
	interval       float64 // mean seconds between reads
	haveSubjects   bool    // requests name subjects, by which clients may choose servers
}

func newArrivalStats(settings *Settings) arrivalStats {
	stats := arrivalStats{maxUnreadDelay: math.Inf(1)}
	for i := range settings.Classes {
		stats.maxUnreadDelay = min(stats.maxUnreadDelay, settings.Classes[i].SoftDeadline/6)
	}
	return stats
}

// record learns from a request that was read.
func (a *arrivalStats) record(now float64, in *Request) {
	a.unreadDelay += unreadWeight * (in.Age - a.unreadDelay)
	a.interval += intervalWeight * (now - a.last - a.interval)
	a.last = now
	a.haveSubjects = a.haveSubjects || in.HasSubject
}

// backlogged reports whether requests wait unread for long.
func (a *arrivalStats) backlogged() bool { return a.unreadDelay > a.maxUnreadDelay }
