package demo

import (
	"context"
	"fmt"
	"sync"
	"time"

	"swiftcourse/internal/bench/timing"
	"swiftcourse/internal/fake/balancer"
	"swiftcourse/internal/wire/rpc"
)

// outcome is how a request ended for its client.
type outcome uint8

const (
	finished outcome = iota
	late
	rejected
	abandoned
	unanswered
)

const (
	clientCount = 16
	maxAttempts = 3
	// minBackoff is multiplied by the number of attempts made.
	minBackoff = 0.02 // seconds
	// answerSlack is how long past its hard deadline a client waits for an answer.
	answerSlack = 0.1 // seconds

	requestMemory   = 10
	requestPriority = 0.5
)

// client is a connection on which requests are sent. Its methods may be called from any goroutine.
type client struct {
	*balancer.Conn
	mu       sync.Mutex
	inFlight map[uint64]chan rpc.Response
}

func dialClients(ctx context.Context, address string) ([]*client, error) {
	var clients []*client
	for range clientCount {
		c := &client{inFlight: map[uint64]chan rpc.Response{}}
		var err error
		if c.Conn, err = balancer.Dial(ctx, address, c.onAnswer, nil); err != nil {
			return clients, err
		}
		clients = append(clients, c)
	}
	return clients, nil
}

func (c *client) onAnswer(answer rpc.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if answers := c.inFlight[answer.Number]; answers != nil {
		delete(c.inFlight, answer.Number)
		answers <- answer // the channel has room for one
	}
}

// request makes up to maxAttempts attempts before the hard deadline and backs off as long as Retry-After says. It
// returns the outcome and the number of attempts.
func (c *client) request(ctx context.Context, requested *class, id string) (result outcome, attempts int) {
	start := time.Now()
	remaining := func() float64 { return requested.hardDeadline - time.Since(start).Seconds() }
	for attempt := 1; ; attempt++ {
		answer, ok := c.attempt(ctx, requested, fmt.Sprintf("%s%02x", id, attempt), remaining())
		switch {
		case !ok:
			return unanswered, attempt
		case answer.Kind == rpc.ResponseFinished && time.Since(start).Seconds() <= requested.softDeadline:
			return finished, attempt
		case answer.Kind == rpc.ResponseFinished:
			return late, attempt
		case answer.Kind == rpc.ResponseFailed:
			return abandoned, attempt
		}
		backoff := max(answer.Metadata.RetryAfter, minBackoff*float64(attempt))
		if attempt == maxAttempts || answer.Metadata.NoFailover || remaining()-backoff <= requested.cpuSeconds {
			return rejected, attempt
		}
		time.Sleep(timing.Seconds(backoff))
	}
}

// attempt sends a request once and waits for its answer. It returns false if none came in time.
func (c *client) attempt(ctx context.Context, requested *class, id string, timeout float64) (rpc.Response, bool) {
	number := c.NextNumber()
	answers := make(chan rpc.Response, 1)
	c.mu.Lock()
	c.inFlight[number] = answers
	c.mu.Unlock()
	err := c.SendRequest(&rpc.Message{
		Number:    number,
		ID:        id,
		Class:     requested.name,
		ArrivedAt: float64(time.Now().UnixMilli()) / 1000,
		Timeout:   timeout,
		Client:    1,
		Memory:    requestMemory,
		Priority:  requestPriority,
		Body:      []byte("a fare from here to there"),
	})
	if err != nil {
		return rpc.Response{}, false
	}
	select {
	case answer := <-answers:
		return answer, true
	case <-time.After(timing.Seconds(timeout + answerSlack)):
	case <-ctx.Done():
	}
	return rpc.Response{}, false
}
