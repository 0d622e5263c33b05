package faultinjection

import (
	"context"
	"sync/atomic"
	"time"

	"swiftcourse/internal/fake/balancer"
	"swiftcourse/internal/wire/rpc"
)

// loadSender sends the requests of a Load to one server over one connection, which it reopens after
// a close. Except for the connection's callbacks it runs in one goroutine.
type loadSender struct {
	load         *Load
	name         string    // of the server
	count        int       // requests created
	conn         *loadConn // nil if no connection is open
	dueRequests  float64   // requests that are due and not yet sent
	dueUpdatedAt time.Time // when dueRequests was last updated
}

// loadConn is a connection with the send times of its unanswered requests.
type loadConn struct {
	*balancer.Conn
	closed     atomic.Bool
	unanswered map[uint64]time.Time // guarded by the load's mutex
}

// run sends due requests every loadInterval until the context ends.
func (s *loadSender) run(ctx context.Context) {
	defer func() {
		if s.conn != nil {
			_ = s.conn.Close()
		}
	}()
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	s.dueUpdatedAt = time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.sendDue(ctx, time.Now())
		}
	}
}

// sendDue sends the requests that are due.
func (s *loadSender) sendDue(ctx context.Context, now time.Time) {
	rate := s.load.rate(s.name)
	s.dueRequests = min(s.dueRequests+rate*now.Sub(s.dueUpdatedAt).Seconds(), rate*maxBacklogSeconds+1)
	s.dueUpdatedAt = now
	if s.dueRequests < 1 {
		return
	}
	if s.conn == nil && s.dial(ctx) != nil {
		return // the server is down; the next tick dials again
	}
	for ; s.dueRequests >= 1; s.dueRequests-- {
		if err := s.send(now); err != nil { // the server has ended; a restarted one has the same address
			s.dropConn()
			return
		}
	}
}

// dial opens a connection. Its unanswered requests are removed when it closes.
func (s *loadSender) dial(ctx context.Context) error {
	dialCtx, cancel := context.WithTimeout(ctx, loadDialTimeout)
	defer cancel()
	opened := &loadConn{unanswered: map[uint64]time.Time{}}
	onResponse := func(response rpc.Response) { s.load.handleAnswer(s.name, opened.unanswered, response) }
	onClose := func(error) {
		opened.closed.Store(true)
		s.load.clearUnanswered(opened.unanswered)
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

// dropConn closes the connection and removes its unanswered requests.
func (s *loadSender) dropConn() {
	_ = s.conn.Close()
	s.load.clearUnanswered(s.conn.unanswered)
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
	// If the connection closed before this request was added, onClose did not remove it.
	if s.conn.closed.Load() {
		s.load.clearUnanswered(s.conn.unanswered)
	}
	s.load.mu.Lock()
	s.load.sent[s.name]++
	s.load.mu.Unlock()
	return nil
}

// clearUnanswered removes the unanswered requests of a closed connection. A draining server does
// not read requests that arrive while it closes the connection; their client has to send them to
// another server.
func (l *Load) clearUnanswered(unanswered map[uint64]time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(unanswered)
}
