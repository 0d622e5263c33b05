package loadgen

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latencies are recorded in microseconds, from one microsecond to one minute, to three significant digits: a
// histogram of 200 KB.
const (
	minMicros         = 1
	maxMicros         = 60e6
	significantDigits = 3
)

// Stats counts the outcomes of the requests of a period.
type Stats struct {
	Latency      *hdrhistogram.Histogram // of finished requests, in microseconds
	Sent         int
	Finished     int
	Rejected     int
	Abandoned    int
	Unsent       int           // not sent: the connection had maxInFlight requests in flight, or writing failed
	Unanswered   int           // when Stop returned
	MaxSendDelay time.Duration // how far behind its schedule the sender was at most
	Disconnects  int           // connections that ended before Stop
	Elapsed      time.Duration
}

// NewHistogram returns an empty histogram of microseconds.
func NewHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicros, maxMicros, significantDigits)
}

// record adds a finished request's latency; latencies outside the histogram's range count as its bounds.
func (s *Stats) record(latency time.Duration) {
	_ = s.Latency.RecordValue(max(minMicros, min(latency.Microseconds(), maxMicros)))
}

// Merge adds another period to s.
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

// Quantile returns the latency in microseconds within which the given percentage of the finished requests stayed.
func (s *Stats) Quantile(percent float64) float64 { return float64(s.Latency.ValueAtQuantile(percent)) }
