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

// Outcome is how a try ended, as its caller saw it.
type Outcome string

const (
	Finished       Outcome = "finished"
	Rejected       Outcome = "rejected"
	Abandoned      Outcome = "abandoned"
	Unreachable    Outcome = "unreachable" // no connection came about
	ConnectionLost Outcome = "cut"         // the connection ended before an answer
	Unanswered     Outcome = "unanswered"
)

// Response is what came of a try.
type Response struct {
	Outcome  Outcome
	Result   string
	Lateness time.Duration // after its caller's wait was over; under 0 for before
}

// SendRequest sends a task under a key to a server, "" for none, on a connection of its own, and waits for its answer, until patience after its caller's wait at
// the most: a server that is stopped answers when it goes on. The task's body is its key too, by which a ledger knows it.
func (f *Fleet) SendRequest(ctx context.Context, name, id, key string, wait, patience time.Duration) Response {
	said, ended := make(chan rpc.Response, 1), make(chan error, 1)
	c, err := balancer.Dial(ctx, f.Server(name).Addr, func(a rpc.Response) {
		if a.Kind == rpc.ResponseGoAway {
			return
		}
		a.Result = append([]byte(nil), a.Result...)
		select {
		case said <- a:
		default: // a second answer to one task is the processors' ledger's to find
		}
	}, func(err error) { ended <- err })
	if err != nil {
		return Response{Outcome: Unreachable}
	}
	defer c.Close()
	began := time.Now()
	if c.SendRequest(&rpc.Message{Number: c.NextNumber(), ID: id, Class: PingClass, Client: 1, ArrivedAt: float64(began.UnixMilli()) / 1000, Timeout: wait.Seconds(), Memory: 1, Priority: 0.5,
		Subject: key, Body: []byte(key)}) != nil {
		return Response{Outcome: ConnectionLost}
	}
	select {
	case a := <-said:
		end := map[rpc.ResponseKind]Outcome{rpc.ResponseFinished: Finished, rpc.ResponseRejected: Rejected, rpc.ResponseFailed: Abandoned}[a.Kind]
		return Response{Outcome: end, Result: string(a.Result), Lateness: time.Since(began) - wait}
	case <-ended:
		return Response{Outcome: ConnectionLost}
	case <-time.After(wait + patience):
		return Response{Outcome: Unanswered}
	}
}

// MeasureSequential sends tasks to an address on one connection, the next once the last is finished, and tells how long each took, shortest first.
func (f *Fleet) MeasureSequential(ctx context.Context, addr string, n int) (took []time.Duration, err error) {
	said := make(chan rpc.Response, 1)
	c, err := balancer.Dial(ctx, addr, func(a rpc.Response) {
		if a.Kind != rpc.ResponseGoAway {
			said <- a
		}
	}, nil)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	for range n {
		began := time.Now()
		if err := c.SendRequest(&rpc.Message{Number: c.NextNumber(), ID: NewRequestID(), Class: PingClass, Client: 1, ArrivedAt: float64(began.UnixMilli()) / 1000, Timeout: loadTimeoutSeconds, Memory: 1, Priority: 0.5}); err != nil {
			return nil, err
		}
		select {
		case a := <-said:
			if a.Kind != rpc.ResponseFinished {
				return nil, fmt.Errorf("%s: a task alone is not finished", addr)
			}
			took = append(took, time.Since(began))
		case <-time.After(5 * loadTimeoutSeconds * time.Second):
			return nil, fmt.Errorf("%s: a task alone has no answer", addr)
		}
	}
	slices.Sort(took)
	return took, nil
}

// NewRequestID is a fresh name for a task.
func NewRequestID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
