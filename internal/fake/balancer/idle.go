package balancer

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"swiftcourse/internal/wire/rpc"
)

const (
	// concurrentDials is the number of goroutines that open idle connections.
	concurrentDials = 64
	// maxShortMessageBytes bounds, in bytes, the messages read on idle connections. Each connection
	// has a goroutine, so the buffer has to fit into a goroutine's initial stack.
	maxShortMessageBytes = 96
)

// errUnexpectedMessage is returned by readMessage for a message of another kind than expected, or
// one that is longer than maxShortMessageBytes.
var errUnexpectedMessage = errors.New("server sent a message of an unexpected kind or size")

var healthCheck = rpc.AppendHealthCheck(nil, 1)

// IdleConns is a set of connections that have sent one health check and are idle since. Its methods
// may be called from any goroutine.
type IdleConns struct {
	honorClose bool
	mu         sync.Mutex
	conns      map[net.Conn]bool

	// GoAways counts the go-away messages, by which the server asks clients to close a connection.
	GoAways atomic.Int64
	// Closed counts the connections that the server closed, or that were closed at its request.
	Closed atomic.Int64
}

// OpenIdle opens n connections to a server and waits for the answer to a health check on each. If
// honorClose is set, a connection is closed on the server's go-away message; otherwise it stays
// open until the server closes it.
func OpenIdle(address string, n int, honorClose bool) (*IdleConns, error) {
	idle := &IdleConns{honorClose: honorClose, conns: map[net.Conn]bool{}}
	var wait sync.WaitGroup
	var remaining atomic.Int64
	remaining.Store(int64(n))
	failures := make(chan error, concurrentDials)
	for range min(concurrentDials, n) {
		wait.Go(func() {
			for remaining.Add(-1) >= 0 {
				if err := idle.open(address); err != nil {
					failures <- err
					return
				}
			}
		})
	}
	wait.Wait()
	select {
	case err := <-failures:
		idle.Close()
		return nil, err
	default:
		return idle, nil
	}
}

// open opens a connection, exchanges a health check on it and adds it to the set.
func (c *IdleConns) open(address string) error {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return err
	}
	if err := exchangeHealthCheck(conn); err != nil {
		_ = conn.Close()
		return err
	}
	c.mu.Lock()
	c.conns[conn] = true
	c.mu.Unlock()
	go c.watch(conn)
	return nil
}

func exchangeHealthCheck(conn net.Conn) error {
	if _, err := conn.Write(healthCheck); err != nil {
		return err
	}
	_ = conn.SetReadDeadline(time.Now().Add(dialTimeout))
	err := readMessage(conn, rpc.ResponseHealth)
	_ = conn.SetReadDeadline(time.Time{})
	return err
}

// readMessage reads one message. It returns errUnexpectedMessage if the message is not of the
// wanted kind or does not fit into the buffer.
func readMessage(conn net.Conn, want rpc.ResponseKind) error {
	var buffer [maxShortMessageBytes]byte
	for filled := 0; filled < len(buffer); {
		n, err := conn.Read(buffer[filled:])
		if err != nil {
			return err
		}
		filled += n
		answer, size, err := rpc.ParseResponse(buffer[:filled])
		if err != nil {
			return err
		}
		if size == 0 {
			continue
		}
		if answer.Kind != want {
			return errUnexpectedMessage
		}
		return nil
	}
	return errUnexpectedMessage
}

// watch counts the go-away messages on a connection until it ends. If honorClose is set, it closes
// the connection on the first one.
func (c *IdleConns) watch(conn net.Conn) {
	for {
		err := readMessage(conn, rpc.ResponseGoAway)
		if errors.Is(err, errUnexpectedMessage) {
			continue // the answer to a check from SendHealthChecks
		}
		if err == nil {
			c.GoAways.Add(1)
			if !c.honorClose {
				continue
			}
		}
		_ = conn.Close()
		c.countClosed(conn)
		return
	}
}

// countClosed removes a closed connection and counts it, unless Close has removed it already.
func (c *IdleConns) countClosed(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[conn] {
		delete(c.conns, conn)
		c.Closed.Add(1)
	}
}

// Len returns the number of open connections.
func (c *IdleConns) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// SendHealthChecks sends a health check on every connection in one burst, which restarts all idle
// timers at about the same time. Write errors are ignored: a connection that is being closed needs
// no health check.
func (c *IdleConns) SendHealthChecks() {
	for _, conn := range c.snapshot() {
		_, _ = conn.Write(healthCheck)
	}
}

// Close closes all connections.
func (c *IdleConns) Close() {
	for _, conn := range c.snapshot() {
		c.mu.Lock()
		delete(c.conns, conn)
		c.mu.Unlock()
		_ = conn.Close()
	}
}

// snapshot returns the open connections.
func (c *IdleConns) snapshot() []net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := make([]net.Conn, 0, len(c.conns))
	for conn := range c.conns {
		conns = append(conns, conn)
	}
	return conns
}
