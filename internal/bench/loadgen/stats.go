package loadgen

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latencies are recorded in microseconds, from one microsecond to one minute, with three
// significant digits. A histogram takes 200 KB.
const (
	minMicros         = 1
	maxMicros         = 60e6
	significantDigits = 3
)

// Stats are the outcomes and latencies of the requests of a period.
type Stats struct {
	Latency      *hdrhistogram.Histogram // of finished requests, in microseconds
	Sent         int
	Finished     int
	Rejected     int
	Abandoned    int
	Unsent       int           // not sent: maxInFlight requests were in flight on the connection, or a write failed
	Unanswered   int           // still in flight when Stop returned
	MaxSendDelay time.Duration // maximum time between the scheduled and the actual send time
	Disconnects  int           // connections that were closed before Stop
	Elapsed      time.Duration // length of the period
}

// NewHistogram returns an empty histogram of latencies in microseconds.
func NewHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicros, maxMicros, significantDigits)
}

// record adds the latency of a finished request. A latency outside the histogram's range is
// recorded as the nearest bound.
func (s *Stats) record(latency time.Duration) {
	_ = s.Latency.RecordValue(max(minMicros, min(latency.Microseconds(), maxMicros)))
}

// Merge adds the statistics of another period to s.
func (s *Stats) Merge(other Stats) {
	if s.Latency == nil {
		s.Latency = NewHistogram()
	}
	s.Latency.Merge(other.Latency)
	s.Sent += other.Sent
	s.Finished += other.Finished
	s.Rejected += other.Rejected
	s.Abandoned += other.Abandoned
	s.Unsent += other.Unsent
	s.MaxSendDelay = max(s.MaxSendDelay, other.MaxSendDelay)
	s.Disconnects += other.Disconnects
	s.Unanswered += other.Unanswered
	s.Elapsed += other.Elapsed
}

// Quantile returns the given percentile of the latencies of finished requests, in microseconds.
func (s *Stats) Quantile(percent float64) float64 { return float64(s.Latency.ValueAtQuantile(percent)) }
