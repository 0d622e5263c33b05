package faultinjection

import (
	"context"
	"sync/atomic"
	"time"

	"swiftcourse/internal/fake/balancer"
	"swiftcourse/internal/wire/rpc"
)

// loadSender sends the requests of a Load to one server, over one connection that it opens again
// after it closed. All of it but the connection's callbacks runs in one goroutine.
type loadSender struct {
	load   *Load
	name   string
	count  int
	conn   *loadConn // nil if there is none
	owed   float64   // requests that are due
	lastAt time.Time
}

// loadConn is an open connection with what is unanswered on it.
type loadConn struct {
	*balancer.Conn
	closed     atomic.Bool
	unanswered map[uint64]time.Time // guarded by the load's mutex
}

// run sends what is due until the context ends.
func (s *loadSender) run(ctx context.Context) {
	defer func() {
		if s.conn != nil {
			_ = s.conn.Close()
		}
	}()
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	s.lastAt = time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.sendDue(ctx, time.Now())
		}
	}
}

// sendDue sends the requests that became due since the last call.
func (s *loadSender) sendDue(ctx context.Context, now time.Time) {
	rate := s.load.rate(s.name)
	s.owed = min(s.owed+rate*now.Sub(s.lastAt).Seconds(), rate*maxBacklogSeconds+1)
	s.lastAt = now
	if s.owed < 1 {
		return
	}
	if s.conn == nil && s.dial(ctx) != nil {
		return // the server is down: the next tick dials again
	}
	for ; s.owed >= 1; s.owed-- {
		if err := s.send(now); err != nil { // the server is gone, and comes back at the same address
			s.dropConn()
			return
		}
	}
}

// dial opens a connection. What is unanswered on it is forgotten once it closes.
func (s *loadSender) dial(ctx context.Context) error {
	dialCtx, cancel := context.WithTimeout(ctx, loadDialTimeout)
	defer cancel()
	opened := &loadConn{unanswered: map[uint64]time.Time{}}
	onResponse := func(response rpc.Response) { s.load.handleAnswer(s.name, opened.unanswered, response) }
	onClose := func(error) {
		opened.closed.Store(true)
		s.load.forget(opened.unanswered)
	}
	conn, err := balancer.Dial(dialCtx, s.load.fleet.Server(s.name).Addr, onResponse, onClose)
	if err != nil {
		return err
	}
	opened.Conn = conn
	s.conn = opened
	s.load.mu.Lock()
	s.load.unanswered[s.name] = opened.unanswered
	s.load.mu.Unlock()
	return nil
}

// dropConn closes the connection and forgets what is unanswered on it.
func (s *loadSender) dropConn() {
	_ = s.conn.Close()
	s.load.forget(s.conn.unanswered)
	s.conn = nil
}

// send sends one request.
func (s *loadSender) send(now time.Time) error {
	message := newPing(s.conn.NextNumber(), now)
	message.Tenant = s.load.tenant
	s.load.mu.Lock()
	s.conn.unanswered[message.Number] = now
	s.count++
	if classes := s.load.Classes; len(classes) > 0 {
		message.Class = classes[s.count%len(classes)]
	}
	s.load.mu.Unlock()
	if s.load.fleet.RunLog != nil {
		message.Body = []byte(message.Class + " " + message.ID)
	}
	if err := s.conn.SendRequest(message); err != nil {
		return err
	}
	if s.conn.closed.Load() { // it closed meanwhile, and its requests were forgotten before this one was added
		s.load.forget(s.conn.unanswered)
	}
	s.load.mu.Lock()
	s.load.sent[s.name]++
	s.load.mu.Unlock()
	return nil
}

// forget drops what is unanswered on a connection that closed. What crossed the close of a server
// that drains was never read, and is its client's to send elsewhere.
func (l *Load) forget(unanswered map[uint64]time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(unanswered)
}
