// Package balancer is a fake of the load balancers that connect to a server. Conn sends requests
// and health checks and passes the answers to a callback; IdleConns holds many idle connections.
package balancer

import (
	"context"
	"net"
	"sync"
	"time"

	"swiftcourse/internal/wire/rpc"
)

const (
	// dialTimeout is long because a server that many clients dial at once accepts them slowly.
	dialTimeout    = 10 * time.Second
	readBufferSize = 8 << 10
)

// Conn is a connection of a load balancer to a server. Its methods may be called from any
// goroutine.
type Conn struct {
	net.Conn
	mu           sync.Mutex // serializes writes
	output       []byte     // buffer that send reuses
	latestNumber uint64     // number of the latest message
}

// Dial opens a connection. The connection's goroutine calls onAnswer for each message received and,
// unless onClose is nil, calls onClose once with the error that ended the connection.
func Dial(ctx context.Context, address string, onAnswer func(rpc.Response), onClose func(error)) (*Conn, error) {
	raw, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: raw}
	go func() {
		err := c.receive(onAnswer)
		_ = raw.Close()
		if onClose != nil {
			onClose(err)
		}
	}()
	return c, nil
}

// receive reads messages until the connection ends or the server sends an invalid message.
func (c *Conn) receive(onAnswer func(rpc.Response)) error {
	var buffered []byte
	chunk := make([]byte, readBufferSize)
	for {
		n, err := c.Read(chunk)
		if err != nil {
			return err
		}
		buffered = append(buffered, chunk[:n]...)
		consumed := 0
		for consumed < len(buffered) {
			answer, size, err := rpc.ParseResponse(buffered[consumed:])
			if err != nil {
				return err
			}
			if size == 0 {
				break
			}
			consumed += size
			onAnswer(answer)
		}
		buffered = append(buffered[:0], buffered[consumed:]...)
	}
}

// NextNumber returns the number for the next message. Numbers count from 1.
func (c *Conn) NextNumber() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latestNumber++
	return c.latestNumber
}

// SendRequest sends a request. Its Number must be from NextNumber.
func (c *Conn) SendRequest(request *rpc.Message) error {
	return c.send(func(b []byte) []byte { return rpc.AppendRequest(b, request) })
}

// SendCancel cancels the request with the given number.
func (c *Conn) SendCancel(number uint64) error {
	return c.send(func(b []byte) []byte { return rpc.AppendCancel(b, number) })
}

// SendHealthCheck sends a health check under the next number.
func (c *Conn) SendHealthCheck() error { return c.SendHealthCheckAs(c.NextNumber()) }

// SendHealthCheckAs sends a health check under the given number, which must be from NextNumber.
func (c *Conn) SendHealthCheckAs(number uint64) error {
	return c.send(func(b []byte) []byte { return rpc.AppendHealthCheck(b, number) })
}

func (c *Conn) send(appendMessage func([]byte) []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.output = appendMessage(c.output[:0])
	_, err := c.Write(c.output)
	return err
}

// IsHealthy opens a connection, sends a health check, and reports whether the server answers within
// the timeout that it is healthy. The timeout does not include the dial.
func IsHealthy(address string, timeout time.Duration) bool {
	health := make(chan bool, 1)
	c, err := Dial(context.Background(), address, func(answer rpc.Response) {
		if answer.Kind == rpc.ResponseHealth {
			health <- answer.Healthy
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
	case healthy := <-health:
		return healthy
	case <-time.After(timeout):
		return false
	}
}
