package loadgen

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"swiftcourse/internal/fake/tcpserver"
	"swiftcourse/internal/wire/rpc"
)

// startResponder starts a server that answers each request with the bytes that respond returns, or
// not at all if they are nil.
func startResponder(t *testing.T, respond func(message rpc.Message) []byte) string {
	t.Helper()
	listener, err := tcpserver.Start("127.0.0.1:0", func(conn net.Conn) {
		var buffered []byte
		chunk := make([]byte, 4096)
		for {
			n, err := conn.Read(chunk)
			if err != nil {
				return
			}
			buffered = append(buffered, chunk[:n]...)
			for {
				message, size, err := rpc.ParseMessage(buffered)
				if err != nil || size == 0 {
					break
				}
				if response := respond(message); response != nil {
					_, _ = conn.Write(response)
				}
				buffered = buffered[size:]
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

func startLoad(t *testing.T, address string, timeout time.Duration) *Generator {
	t.Helper()
	g, err := Start(context.Background(), Config{Addresses: []string{address}, ConnsPerServer: 1, Rate: 500,
		Class: "ping", Timeout: timeout, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	return g
}

func TestStart_InvalidConfig(t *testing.T) {
	for _, config := range []Config{
		{Addresses: []string{"x"}, ConnsPerServer: 1},
		{Addresses: []string{"x"}, Rate: 1},
		{ConnsPerServer: 1, Rate: 1},
	} {
		if _, err := Start(context.Background(), config); !errors.Is(err, ErrInvalidConfig) {
			t.Errorf("%+v: got error %v, want %v", config, err, ErrInvalidConfig)
		}
	}
}

func TestGenerator_CountsOutcomes(t *testing.T) {
	address := startResponder(t, func(message rpc.Message) []byte {
		switch message.Number % 3 {
		case 0:
			return rpc.AppendRejected(nil, message.Number, rpc.ResponseMetadata{})
		case 1:
			return rpc.AppendFailed(nil, message.Number, rpc.ResponseMetadata{})
		default:
			return rpc.AppendResult(nil, message.Number, nil, rpc.ResponseMetadata{})
		}
	})
	g := startLoad(t, address, 5*time.Second)
	time.Sleep(200 * time.Millisecond)
	stats := g.Stop()
	if stats.Sent == 0 || stats.Sent != stats.Finished+stats.Rejected+stats.Abandoned {
		t.Errorf("got %+v, want requests sent, each with an outcome", stats)
	}
	if stats.Finished == 0 || stats.Rejected == 0 || stats.Abandoned == 0 || stats.Unanswered != 0 {
		t.Errorf("got %+v, want requests with each of the three outcomes, and none unanswered", stats)
	}
	if stats.Latency.TotalCount() != int64(stats.Finished) {
		t.Errorf("got %d latencies, want one for each of %d finished requests",
			stats.Latency.TotalCount(), stats.Finished)
	}
}

// If a server answers no request, the generator sends as many requests as the protocol allows in
// flight, and counts the rest as unsent.
func TestGenerator_UnansweredRequestsFillInFlightLimit(t *testing.T) {
	address := startResponder(t, func(rpc.Message) []byte { return nil })
	g := startLoad(t, address, 50*time.Millisecond)
	time.Sleep(300 * time.Millisecond)
	stats := g.Stop()
	if stats.Sent != maxInFlight || stats.Unanswered != maxInFlight || stats.Unsent == 0 {
		t.Errorf("got %+v, want %d requests sent and unanswered, and further ones unsent", stats, maxInFlight)
	}
}

func TestStats_Merge(t *testing.T) {
	first := Stats{Latency: NewHistogram(), Sent: 1, MaxSendDelay: 2, Elapsed: time.Second}
	first.record(3 * time.Millisecond)
	second := Stats{Latency: NewHistogram(), Sent: 2, MaxSendDelay: 1, Elapsed: time.Second, Unanswered: 1}
	second.record(time.Hour) // beyond the histogram's range
	var total Stats
	total.Merge(first)
	total.Merge(second)
	if total.Sent != 3 || total.MaxSendDelay != 2 || total.Elapsed != 2*time.Second || total.Unanswered != 1 {
		t.Errorf("got %+v, want 3 sent, a send delay of 2 ns, 2 s elapsed and 1 unanswered", total)
	}
	if total.Latency.TotalCount() != 2 || total.Quantile(100) < 59e6 {
		t.Errorf("got %d latencies, the longest %g us; want 2, the longest at least 59e6 us",
			total.Latency.TotalCount(), total.Quantile(100))
	}
}
