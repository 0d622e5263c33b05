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

// outcome is the outcome of a request from the client's point of view.
type outcome uint8

const (
	finished  outcome = iota // within the soft deadline
	late                     // finished after the soft deadline
	rejected                 // by the last attempt
	abandoned                // the server answered that the request failed
	unanswered
)

const (
	clientCount = 16
	maxAttempts = 3
	// minBackoffSeconds is the minimum backoff after the first attempt; it grows linearly with the
	// number of attempts.
	minBackoffSeconds = 0.02
	// answerGraceSeconds is how long a client waits for an answer after the hard deadline of its
	// request.
	answerGraceSeconds = 0.1

	requestMemory   = 10
	requestPriority = 0.5
)

// client sends requests on one connection. Its methods may be called from any goroutine.
type client struct {
	*balancer.Conn
	mu       sync.Mutex
	inFlight map[uint64]chan rpc.Response // by message number; each channel has a buffer of one
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
		answers <- answer // does not block: the channel has a buffer of one
	}
}

// request makes up to maxAttempts attempts before the hard deadline, with a backoff of at least the
// retry-after time of the answer. It returns the outcome and the number of attempts.
func (c *client) request(ctx context.Context, requested *class, id string) (result outcome, attempts int) {
	start := time.Now()
	remaining := func() float64 { return requested.hardDeadlineSeconds - time.Since(start).Seconds() }
	for attempt := 1; ; attempt++ {
		answer, ok := c.attempt(ctx, requested, fmt.Sprintf("%s%02x", id, attempt), remaining())
		switch {
		case !ok:
			return unanswered, attempt
		case answer.Kind == rpc.ResponseFinished && time.Since(start).Seconds() <= requested.softDeadlineSeconds:
			return finished, attempt
		case answer.Kind == rpc.ResponseFinished:
			return late, attempt
		case answer.Kind == rpc.ResponseFailed:
			return abandoned, attempt
		}
		backoff := max(answer.Metadata.RetryAfter, minBackoffSeconds*float64(attempt))
		if attempt == maxAttempts || answer.Metadata.NoFailover || remaining()-backoff <= requested.meanCPUSeconds {
			return rejected, attempt
		}
		time.Sleep(timing.Seconds(backoff))
	}
}

// attempt sends a request once and waits for its answer. It returns false if no answer arrives in
// time.
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
	case <-time.After(timing.Seconds(timeout + answerGraceSeconds)):
	case <-ctx.Done():
	}
	return rpc.Response{}, false
}
