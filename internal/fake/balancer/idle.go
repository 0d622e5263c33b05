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
	// concurrentDials is how many idle connections are opened at a time.
	concurrentDials = 64
	// maxShortMessage bounds the messages read on idle connections. Each connection has a goroutine, so the buffer is
	// small enough for the goroutine's initial stack.
	maxShortMessage = 96
)

// errUnexpectedMessage reports a message of another kind than the awaited one.
var errUnexpectedMessage = errors.New("unexpected message")

var healthCheck = rpc.AppendHealthCheck(nil, 1)

// IdleConns is a number of connections that were used once and send nothing. Its methods may be called from any
// goroutine.
type IdleConns struct {
	honorClose bool
	mu         sync.Mutex
	conns      map[net.Conn]bool

	// GoAways counts the go-away messages, by which the server asks the client to close.
	GoAways atomic.Int64
	// Closed counts the connections that ended before Close, by the server or at its request.
	Closed atomic.Int64
}

// OpenIdle opens n connections to a server and waits for the answer to a health check on each. With honorClose a
// connection is closed at the server's go-away message; without, it stays open until the server closes it.
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

// open adds one connection.
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

// readMessage reads one message and returns errUnexpectedMessage if it is not of the wanted kind.
func readMessage(conn net.Conn, want rpc.ResponseKind) error {
	var buffer [maxShortMessage]byte
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

// watch counts the go-away messages on a connection until it ends, and closes it at the first with honorClose.
func (c *IdleConns) watch(conn net.Conn) {
	for {
		err := readMessage(conn, rpc.ResponseGoAway)
		if errors.Is(err, errUnexpectedMessage) {
			continue // the answer to SendHealthChecks
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

// countClosed removes a connection that ended and counts it, unless Close removed it before.
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

// SendHealthChecks sends a health check on every connection in one burst, so that all of their idle timers restart
// at the same time. Write errors are ignored: a connection that closes meanwhile needs no check.
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
