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

// End is how a try ended, as its caller saw it.
type End string

const (
	Finished    End = "finished"
	Rejected    End = "rejected"
	Abandoned   End = "abandoned"
	Unreachable End = "unreachable" // no connection came about
	Cut         End = "cut"         // the connection ended before an answer
	Unanswered  End = "unanswered"
)

// Answer is what came of a try.
type Answer struct {
	End    End
	Result string
	Late   time.Duration // after its caller's wait was over; under 0 for before
}

// Try sends a task under a key to a server, "" for none, on a connection of its own, and waits for its answer, until patience after its caller's wait at
// the most: a server that is stopped answers when it goes on. The task's body is its key too, by which a ledger knows it.
func (f *Fleet) Try(ctx context.Context, name, id, key string, wait, patience time.Duration) Answer {
	said, ended := make(chan rpc.Answer, 1), make(chan error, 1)
	c, err := balancer.Dial(ctx, f.Server(name).Addr, func(a rpc.Answer) {
		if a.End == rpc.PartSaid {
			return
		}
		a.Result = append([]byte(nil), a.Result...)
		select {
		case said <- a:
		default: // a second answer to one task is the processors' ledger's to find
		}
	}, func(err error) { ended <- err })
	if err != nil {
		return Answer{End: Unreachable}
	}
	defer c.Close()
	began := time.Now()
	if c.Task(&rpc.Message{Number: c.Next(), ID: id, Stage: Ping, Caller: 1, Came: float64(began.UnixMilli()) / 1000, Wait: wait.Seconds(), Memory: 1, Rank: 0.5,
		Subject: key, Body: []byte(key)}) != nil {
		return Answer{End: Cut}
	}
	select {
	case a := <-said:
		end := map[rpc.End]End{rpc.Finished: Finished, rpc.Rejected: Rejected, rpc.Abandoned: Abandoned}[a.End]
		return Answer{End: end, Result: string(a.Result), Late: time.Since(began) - wait}
	case <-ended:
		return Answer{End: Cut}
	case <-time.After(wait + patience):
		return Answer{End: Unanswered}
	}
}

// OneByOne sends tasks to an address on one connection, the next once the last is finished, and tells how long each took, shortest first.
func (f *Fleet) OneByOne(ctx context.Context, addr string, n int) (took []time.Duration, err error) {
	said := make(chan rpc.Answer, 1)
	c, err := balancer.Dial(ctx, addr, func(a rpc.Answer) {
		if a.End != rpc.PartSaid {
			said <- a
		}
	}, nil)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	for range n {
		began := time.Now()
		if err := c.Task(&rpc.Message{Number: c.Next(), ID: ID(), Stage: Ping, Caller: 1, Came: float64(began.UnixMilli()) / 1000, Wait: demandWait, Memory: 1, Rank: 0.5}); err != nil {
			return nil, err
		}
		select {
		case a := <-said:
			if a.End != rpc.Finished {
				return nil, fmt.Errorf("%s: a task alone is not finished", addr)
			}
			took = append(took, time.Since(began))
		case <-time.After(5 * demandWait * time.Second):
			return nil, fmt.Errorf("%s: a task alone has no answer", addr)
		}
	}
	slices.Sort(took)
	return took, nil
}

// ID is a fresh name for a task.
func ID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
