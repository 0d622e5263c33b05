package admission

import "swiftcourse/internal/timewindow"

const (
	// runTimeWindow is the window, in seconds, over which the durations of runs are learned: some
	// tens of runs on a busy server, yet short enough to show a slow-down of a few seconds.
	runTimeWindow = 8
	// estimateBuckets is the number of buckets of a window.
	estimateBuckets = 8
	// The lowest mean or median is kept for 30 s, in six buckets.
	lowestBuckets     = 6
	lowestBucketWidth = 5
	// minSamples is the least number of durations for a median, or for a mean to be compared.
	minSamples = 4

	// minimumDecay is for a tick at which few runs are known. It is the fraction by which the minimum
	// service time then approaches its lowest value of the last 30 s, which takes about 2 s.
	minimumDecay = 0.05
	// wasteWeight and callsWeight are the weights of the latest run in a moving average of about 20 runs.
	wasteWeight = 0.05
	callsWeight = 0.05
	// admissionWeight is the weight of the latest request in a moving average of about 50 requests.
	admissionWeight = 0.02
	// wasteFactor is the inverse of the fraction of wasted runs, one in three, from which on the minimum
	// remaining budget has its full size.
	wasteFactor = 3
)

// durationEstimate is what is learned of the durations of runs or of calls, over a sliding window.
type durationEstimate struct {
	window *timewindow.Buckets[timewindow.Histogram]
	recent timewindow.Histogram // all of the window, as of the last refresh
	mean   float64              // of the window, or the last one known where that is empty
	lowest timewindow.Minimum   // over 30 s, of the medians or means that the owner adds
}

func newDurationEstimate(now, window float64) durationEstimate {
	return durationEstimate{
		window: timewindow.NewBuckets[timewindow.Histogram](estimateBuckets, window/estimateBuckets, now),
		lowest: timewindow.NewMinimum(lowestBuckets, lowestBucketWidth, now),
	}
}

// refresh brings recent and mean up to date.
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
	// wastedFraction is the fraction of runs whose client had left before they ended.
	wastedFraction float64
	// minRemainingBudget is how many seconds a request must have left to be started while cores are
	// scarce.
	minRemainingBudget float64
	meanCalls          float64 // mean number of calls of a run
	// admittedFraction is the fraction of its requests that were run rather than rejected.
	admittedFraction float64
}

// recordWaste learns whether a run that ended was wasted, as its client had left.
func (class *learnedClass) recordWaste(wasted bool) {
	class.wastedFraction *= 1 - wasteWeight
	if wasted {
		class.wastedFraction += wasteWeight
	}
}

// recordRun learns from a run that ended.
func (class *learnedClass) recordRun(now float64, r *request) {
	class.runTime.window.Current(now).Add(r.coreTime)
	class.meanCalls += callsWeight * (float64(r.call.finishedCalls) - class.meanCalls)
}

// refresh brings the minimum service time and the means up to date. While work is stalled no run can
// end, so the lack of samples says nothing: a lower minimum would only admit more requests that can't
// end either.
func (class *learnedClass) refresh(now float64, stalled bool, meanCall float64) {
	class.runTime.refresh(now)
	if class.runTime.recent.Count >= minSamples {
		class.minServiceTime = class.runTime.recent.Median()
		class.runTime.lowest.Observe(now, class.minServiceTime)
	} else if !stalled {
		class.minServiceTime += minimumDecay * min(class.runTime.lowest.Value(now)-class.minServiceTime, 0)
	}
	// Exception to the design, for small budgets that pass the minimum and yet run out during calls or
	// long runs: the more runs are wasted, the more of the time of a second run and of the calls must
	// be left too, all of it from one wasted run in three on.
	surcharge := min(1, wasteFactor*class.wastedFraction) * (class.runTime.mean + class.meanCalls*meanCall)
	class.minRemainingBudget = min(class.minServiceTime+surcharge, class.Timeout/2)
}

// refreshEstimates brings the estimates of all classes up to date.
func (c *Controller) refreshEstimates() {
	c.progress.slowestMeanRun = minSlowestMeanRun
	for i := range c.classes {
		class := &c.classes[i]
		class.refresh(c.now, c.progress.stalled, c.downstream.callTime.mean)
		c.progress.slowestMeanRun = max(c.progress.slowestMeanRun, class.runTime.mean)
	}
}
