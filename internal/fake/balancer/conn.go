// Package balancer is a fake of the load balancers that connect to a server. Conn sends requests and health checks
// and reports the answers; IdleConns holds many connections that send nothing.
package balancer

import (
	"context"
	"net"
	"sync"
	"time"

	"swiftcourse/internal/wire/rpc"
)

const (
	// dialTimeout bounds one dial; a server that many clients dial at once may take a while to accept.
	dialTimeout = 10 * time.Second
	readSize    = 8 << 10
)

// Conn is a connection to a server. Its methods may be called from any goroutine.
type Conn struct {
	net.Conn
	mu           sync.Mutex // serializes writes
	output       []byte     // buffer of send, reused
	latestNumber uint64     // of the latest message
}

// Dial opens a connection. One goroutine of the connection calls onAnswer for each message received and, if onClose
// is not nil, calls it once with the error that ended the connection.
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

// receive reads until the connection ends or sends something that is not a message.
func (c *Conn) receive(onAnswer func(rpc.Response)) error {
	var buffered []byte
	piece := make([]byte, readSize)
	for {
		n, err := c.Read(piece)
		if err != nil {
			return err
		}
		buffered = append(buffered, piece[:n]...)
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

// NextNumber returns the number for the next message; the first is 1.
func (c *Conn) NextNumber() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latestNumber++
	return c.latestNumber
}

// SendRequest sends a request, whose Number is from NextNumber.
func (c *Conn) SendRequest(request *rpc.Message) error {
	return c.send(func(b []byte) []byte { return rpc.AppendRequest(b, request) })
}

// SendCancel tells the server that the client no longer waits for the message with the given number.
func (c *Conn) SendCancel(number uint64) error {
	return c.send(func(b []byte) []byte { return rpc.AppendCancel(b, number) })
}

// SendHealthCheck sends a health check.
func (c *Conn) SendHealthCheck() error { return c.SendHealthCheckAs(c.NextNumber()) }

// SendHealthCheckAs sends a health check under a number from NextNumber.
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

// IsHealthy opens a connection, sends a health check, and reports whether the server answers within the timeout that
// it is healthy.
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
