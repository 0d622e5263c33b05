package faultinjection

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"swiftcourse/internal/fake/balancer"
	"swiftcourse/internal/wire/rpc"
)

// Outcome is the outcome of an attempt as seen by its client.
type Outcome string

// The outcomes of attempts.
const (
	Finished       Outcome = "finished"
	Rejected       Outcome = "rejected"
	Abandoned      Outcome = "abandoned"
	Unreachable    Outcome = "unreachable" // no connection could be opened
	ConnectionLost Outcome = "cut"         // the connection closed before the response
	Unanswered     Outcome = "unanswered"
)

// outcomeOf returns the outcome for a kind of final response, "" for other kinds.
func outcomeOf(kind rpc.ResponseKind) Outcome {
	switch kind {
	case rpc.ResponseFinished:
		return Finished
	case rpc.ResponseRejected:
		return Rejected
	case rpc.ResponseFailed:
		return Abandoned
	default:
		return ""
	}
}

// Response is the outcome of an attempt with its result and time.
type Response struct {
	Outcome  Outcome
	Result   string
	Lateness time.Duration // time from the client's timeout to the response; negative if it came before
}

const (
	// pingMemory and pingPriority are the memory and priority of every request.
	pingMemory   = 1
	pingPriority = 0.5
)

// newPing returns a request of PingClass with the given arrival time.
func newPing(number uint64, arrivedAt time.Time) *rpc.Message {
	return &rpc.Message{
		Number:    number,
		ID:        NewRequestID(),
		Class:     PingClass,
		Client:    1,
		ArrivedAt: float64(arrivedAt.UnixMilli()) / 1000,
		Timeout:   loadTimeoutSeconds,
		Memory:    pingMemory,
		Priority:  pingPriority,
	}
}

// Attempt is one attempt of a request.
type Attempt struct {
	Server  string // name of the server
	ID      string
	Key     string // "" for none; also sent as the body, so that a RunLog can record it
	Timeout time.Duration
	// AnswerGrace is how long after the timeout SendRequest still waits for a response: a paused
	// server answers only when it resumes.
	AnswerGrace time.Duration
}

// SendRequest sends an attempt on a new connection and waits for its response.
func (f *Fleet) SendRequest(ctx context.Context, attempt Attempt) Response {
	responses := make(chan rpc.Response, 1)
	closed := make(chan struct{})
	onResponse := func(response rpc.Response) {
		if response.Kind == rpc.ResponseGoAway {
			return
		}
		response.Result = slices.Clone(response.Result)
		select {
		case responses <- response:
		default: // drop a repeated response; a second run is in the run log
		}
	}
	conn, err := balancer.Dial(ctx, f.Server(attempt.Server).Addr, onResponse, func(error) { close(closed) })
	if err != nil {
		return Response{Outcome: Unreachable}
	}
	defer closeIgnoringError(conn)
	startedAt := time.Now()
	message := newPing(conn.NextNumber(), startedAt)
	message.ID = attempt.ID
	message.Timeout = attempt.Timeout.Seconds()
	message.Subject = attempt.Key
	message.Body = []byte(attempt.Key)
	if err := conn.SendRequest(message); err != nil {
		return Response{Outcome: ConnectionLost}
	}
	select {
	case response := <-responses:
		return Response{
			Outcome:  outcomeOf(response.Kind),
			Result:   string(response.Result),
			Lateness: time.Since(startedAt) - attempt.Timeout,
		}
	case <-closed:
		return Response{Outcome: ConnectionLost}
	case <-time.After(attempt.Timeout + attempt.AnswerGrace):
		return Response{Outcome: Unanswered}
	}
}

// closeIgnoringError closes a connection that is no longer needed and ignores the error.
func closeIgnoringError(conn *balancer.Conn) { _ = conn.Close() }

// MeasureSequential sends requests to an address on one connection, each after the response to the
// previous one, and returns their latencies in ascending order.
func (f *Fleet) MeasureSequential(ctx context.Context, addr string, count int) (latencies []time.Duration, err error) {
	responses := make(chan rpc.Response, 1)
	onResponse := func(response rpc.Response) {
		if response.Kind != rpc.ResponseGoAway {
			responses <- response
		}
	}
	conn, err := balancer.Dial(ctx, addr, onResponse, nil)
	if err != nil {
		return nil, err
	}
	defer closeIgnoringError(conn)
	for range count {
		startedAt := time.Now()
		if err := conn.SendRequest(newPing(conn.NextNumber(), startedAt)); err != nil {
			return nil, err
		}
		select {
		case response := <-responses:
			if response.Kind != rpc.ResponseFinished {
				return nil, fmt.Errorf("%s: response to a ping has kind %v, want finished", addr, response.Kind)
			}
			latencies = append(latencies, time.Since(startedAt))
		case <-time.After(5 * loadTimeoutSeconds * time.Second):
			return nil, fmt.Errorf("%s: no response to a ping within %g s", addr, 5*loadTimeoutSeconds)
		}
	}
	slices.Sort(latencies)
	return latencies, nil
}

// NewRequestID returns a random request ID.
func NewRequestID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
