// Package balancer stands in for the balancers' side of a connection: it sends tasks and checks, hands on what comes
// back, and holds crowds of connections that say nothing.
package balancer

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"swiftcourse/internal/wire/rpc"
)

// dialFor bounds one dial; a server in a crowd of them may take a while to accept.
const dialFor = 10 * time.Second

// Conn is a connection to a server. Messages may be sent on it from any goroutine.
type Conn struct {
	net.Conn
	mu     sync.Mutex
	out    []byte
	number uint64
}

// Dial opens a connection. From its own goroutine it calls answer for every message that comes, and closed once, with the error
// that ended it.
func Dial(ctx context.Context, addr string, answer func(rpc.Response), closed func(error)) (*Conn, error) {
	raw, err := (&net.Dialer{Timeout: dialFor}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: raw}
	go func() {
		err := c.read(answer)
		_ = raw.Close()
		if closed != nil {
			closed(err)
		}
	}()
	return c, nil
}

func (c *Conn) read(answer func(rpc.Response)) error {
	var b []byte
	piece := make([]byte, 8<<10)
	for {
		n, err := c.Read(piece)
		if err != nil {
			return err
		}
		b = append(b, piece[:n]...)
		at := 0
		for at < len(b) {
			a, size, err := rpc.ParseResponse(b[at:])
			if err != nil {
				return err
			}
			if size == 0 {
				break
			}
			at += size
			answer(a)
		}
		b = append(b[:0], b[at:]...)
	}
}

// NextNumber is the number of the next message; the first is 1.
func (c *Conn) NextNumber() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.number++
	return c.number
}

// SendRequest sends a task, whose Number is from Next.
func (c *Conn) SendRequest(m *rpc.Message) error {
	return c.put(func(b []byte) []byte { return rpc.AppendRequest(b, m) })
}

// SendCancel tells that nobody waits for a message any more.
func (c *Conn) SendCancel(number uint64) error {
	return c.put(func(b []byte) []byte { return rpc.AppendCancel(b, number) })
}

// SendHealthCheck asks for the server's health.
func (c *Conn) SendHealthCheck() error { return c.SendHealthCheckAs(c.NextNumber()) }

// SendHealthCheckAs is Check with a number from Next.
func (c *Conn) SendHealthCheckAs(number uint64) error {
	return c.put(func(b []byte) []byte { return rpc.AppendHealthCheck(b, number) })
}

func (c *Conn) put(put func([]byte) []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.out = put(c.out[:0])
	_, err := c.Write(c.out)
	return err
}

// IsHealthy asks a server for its health on a connection of its own.
func IsHealthy(addr string, patience time.Duration) bool {
	well := make(chan bool, 1)
	c, err := Dial(context.Background(), addr, func(a rpc.Response) {
		if a.Kind == rpc.ResponseHealth {
			well <- a.Healthy
		}
	}, nil)
	if err != nil {
		return false
	}
	defer c.Close()
	if c.SendHealthCheck() != nil {
		return false
	}
	select {
	case is := <-well:
		return is
	case <-time.After(patience):
		return false
	}
}

// IdleConns is a number of connections that were known once and say nothing.
type IdleConns struct {
	heeds bool
	mu    sync.Mutex
	conns map[net.Conn]bool

	CloseRequests atomic.Int64 // to close
	Closed        atomic.Int64 // by the server, or as it asked
}

// openers is how many of a crowd are opened at a time.
const openers = 64

// OpenIdle opens n connections to a server, and asks for its health on each, whose answer it waits for. A crowd that heeds
// closes a connection when it is asked to.
func OpenIdle(addr string, n int, heeds bool) (*IdleConns, error) {
	crowd := &IdleConns{heeds: heeds, conns: map[net.Conn]bool{}}
	var wait sync.WaitGroup
	var left atomic.Int64
	left.Store(int64(n))
	faults := make(chan error, openers)
	for range min(openers, n) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for left.Add(-1) >= 0 {
				if err := crowd.open(addr); err != nil {
					faults <- err
					return
				}
			}
		}()
	}
	wait.Wait()
	select {
	case err := <-faults:
		crowd.Close()
		return nil, err
	default:
		return crowd, nil
	}
}

var check = rpc.AppendHealthCheck(nil, 1)

func (w *IdleConns) open(addr string) error {
	c, err := net.DialTimeout("tcp", addr, dialFor)
	if err != nil {
		return err
	}
	if _, err = c.Write(check); err == nil {
		_ = c.SetReadDeadline(time.Now().Add(dialFor))
		err = passed(c, rpc.ResponseHealth)
		_ = c.SetReadDeadline(time.Time{})
	}
	if err != nil {
		_ = c.Close()
		return err
	}
	w.mu.Lock()
	w.conns[c] = true
	w.mu.Unlock()
	go w.attend(c)
	return nil
}

var errUnasked = errors.New("a message that was not asked for")

// passed reads one message of the kind. It takes few bytes of stack, as there are many of it.
func passed(c net.Conn, want rpc.ResponseKind) error {
	var b [96]byte
	for n := 0; n < len(b); {
		m, err := c.Read(b[n:])
		if err != nil {
			return err
		}
		n += m
		a, size, err := rpc.ParseResponse(b[:n])
		if err != nil {
			return err
		}
		if size > 0 {
			if a.Kind != want {
				return errUnasked
			}
			return nil
		}
	}
	return errUnasked
}

// attend waits for what the server does with a connection.
func (w *IdleConns) attend(c net.Conn) {
	for {
		err := passed(c, rpc.ResponseGoAway)
		if errors.Is(err, errUnasked) {
			continue // the answer to a check by Touch
		}
		if err == nil {
			if w.CloseRequests.Add(1); !w.heeds {
				continue
			}
		}
		_ = c.Close()
		w.mu.Lock()
		if w.conns[c] {
			delete(w.conns, c)
			w.Closed.Add(1)
		}
		w.mu.Unlock()
		return
	}
}

// Len counts the connections that stand.
func (w *IdleConns) Len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.conns)
}

// SendHealthChecks asks for the server's health on every connection, all in one burst, so that they are heard at the same time.
func (w *IdleConns) SendHealthChecks() {
	for _, c := range w.all() {
		_, _ = c.Write(check) // one that closes meanwhile needs none
	}
}

// Close closes all of them.
func (w *IdleConns) Close() {
	for _, c := range w.all() {
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
		_ = c.Close()
	}
}

func (w *IdleConns) all() []net.Conn {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := make([]net.Conn, 0, len(w.conns))
	for c := range w.conns {
		all = append(all, c)
	}
	return all
}
