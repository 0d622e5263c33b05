package admission

import "swiftcourse/internal/timewindow"

const (
	// runTimeWindowSeconds is the window, in seconds, over which the durations of runs are
	// learned. It holds some tens of runs on a busy server, and is short enough to show a
	// slowdown of a few seconds.
	runTimeWindowSeconds = 8
	// estimateBucketCount is the number of buckets of a window.
	estimateBucketCount = 8
	// The lowest mean or median is kept for 30 s, in six buckets of 5 s each.
	lowestBucketCount        = 6
	lowestBucketWidthSeconds = 5
	// minSamples is the minimum number of durations from which a median is taken, or a mean is
	// compared with the lowest one.
	minSamples = 4

	// minimumDecay is the fraction of the difference by which a tick lowers the minimum service
	// time towards its lowest value of the last 30 s, while fewer than minSamples runs are known.
	// Coming close to that value takes about 2 s.
	minimumDecay = 0.05
	// wasteWeight and callsWeight are the weights of the latest run in moving averages of about
	// 20 runs.
	wasteWeight = 0.05
	callsWeight = 0.05
	// admissionWeight is the weight of the latest request in a moving average of about 50 requests.
	admissionWeight = 0.02
	// wasteSurchargeFactor is the inverse of the fraction of wasted runs (one in three) at which
	// the surcharge on the minimum remaining budget reaches its full size.
	wasteSurchargeFactor = 3
)

// durationEstimate holds the durations of runs or of calls learned over a sliding window.
type durationEstimate struct {
	window *timewindow.Buckets[timewindow.Histogram]
	recent timewindow.Histogram // the whole window, as of the last refresh
	mean   float64              // over the window, or the previous mean if the window is empty
	lowest timewindow.Minimum   // over 30 s, of the medians or means passed to Observe
}

func newDurationEstimate(now, window float64) durationEstimate {
	return durationEstimate{
		window: timewindow.NewBuckets[timewindow.Histogram](estimateBucketCount, window/estimateBucketCount, now),
		lowest: timewindow.NewMinimum(lowestBucketCount, lowestBucketWidthSeconds, now),
	}
}

// refresh brings recent and mean up to date.
func (d *durationEstimate) refresh(now float64) {
	d.recent = timewindow.Histogram{}
	d.window.ForEach(now, d.recent.Merge)
	d.mean = d.recent.Mean(d.mean)
}

// learnedClass is a request class with its learned estimates.
type learnedClass struct {
	Class
	runTime durationEstimate // time on a core or waiting for one, without calls
	// minServiceTime is the learned minimum service time: the median run time.
	minServiceTime float64
	// wastedFraction is the moving average of the fraction of runs that ended after their hard
	// deadline, when no client waited for the response any more.
	wastedFraction float64
	// minRemainingBudget is the time in seconds that a request must have left to be started while
	// cores are scarce.
	minRemainingBudget float64
	meanCalls          float64 // mean number of completed calls of a run
	// admittedFraction is the moving average of the fraction of requests that were run rather
	// than rejected for lack of capacity.
	admittedFraction float64
}

// recordWaste records whether a run that ended was wasted, as it ended after its hard deadline.
func (class *learnedClass) recordWaste(wasted bool) {
	class.wastedFraction *= 1 - wasteWeight
	if wasted {
		class.wastedFraction += wasteWeight
	}
}

// recordRun learns the duration and the number of calls of a run that ended.
func (class *learnedClass) recordRun(now float64, r *request) {
	class.runTime.window.Current(now).Add(r.coreTime)
	class.meanCalls += callsWeight * (float64(r.call.finishedCalls) - class.meanCalls)
}

// refresh brings the minimum service time and the means up to date. While work is stalled no run
// can end, so a lack of samples does not mean that runs got shorter; lowering the minimum would
// only admit more requests that cannot end either.
func (class *learnedClass) refresh(now float64, stalled bool, meanCall float64) {
	class.runTime.refresh(now)
	if class.runTime.recent.Count >= minSamples {
		class.minServiceTime = class.runTime.recent.Median()
		class.runTime.lowest.Observe(now, class.minServiceTime)
	} else if !stalled {
		class.minServiceTime += minimumDecay * min(class.runTime.lowest.Value(now)-class.minServiceTime, 0)
	}
	// Exception to the design, for budgets that exceed the minimum service time and still run out
	// during calls or long runs: a surcharge on the time that must be left. It grows with the
	// fraction of wasted runs, up to the mean time of a run and of its calls when one run in three
	// is wasted.
	surcharge := min(1, wasteSurchargeFactor*class.wastedFraction) * (class.runTime.mean + class.meanCalls*meanCall)
	class.minRemainingBudget = min(class.minServiceTime+surcharge, class.Timeout/2)
}

// refreshEstimates brings the estimates of all classes up to date.
func (c *Controller) refreshEstimates() {
	c.progress.slowestMeanRun = minSlowestMeanRunSeconds
	for i := range c.classes {
		class := &c.classes[i]
		class.refresh(c.now, c.progress.stalled, c.downstream.callTime.mean)
		c.progress.slowestMeanRun = max(c.progress.slowestMeanRun, class.runTime.mean)
	}
}
