package connflood

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"swiftcourse/internal/wire/rpc"
)

const (
	// clientTimeout bounds the time from a client's dial to the answer to its first request.
	clientTimeout = time.Second
	// requestInterval is the pause between the requests by which a client earns trust.
	requestInterval = 200 * time.Millisecond
	// reconnectInterval is the pause between a client's attempts during the flood.
	reconnectInterval = 300 * time.Millisecond
	// maxAnswerBytes bounds, in bytes, a message from the server.
	maxAnswerBytes = 512
)

var (
	errNotFinished = errors.New("request was answered with an outcome other than finished")
	errLongMessage = errors.New("message from the server does not fit into the read buffer")
)

// client is a trusted client with its own IP address and at most one connection.
type client struct {
	server       string
	address      net.IP
	number       int
	conn         net.Conn // nil if there is none
	sentMessages uint64   // messages sent on the connection
	nextID       int
}

// earnTrust connects the trusted clients, each from its own address, and sends requests on all of
// them for a period.
func (p *Plan) earnTrust(ctx context.Context, server string, period time.Duration) ([]*client, error) {
	var clients []*client
	for i := range p.Trusted {
		c := &client{server: server, address: net.IPv4(127, 20, byte(i>>8), byte(i%250+1)), number: i}
		if err := c.dial(ctx); err != nil {
			return nil, err
		}
		clients = append(clients, c)
	}
	for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(requestInterval) {
		var wait sync.WaitGroup
		for _, c := range clients {
			wait.Go(func() { _ = c.request(clientTimeout) }) // a request that fails earns no trust
		}
		wait.Wait()
	}
	return clients, nil
}

// attemptStats are the attempts of clients that reconnect for each request.
type attemptStats struct {
	total     int
	failed    int
	latencies []float64 // of successful attempts, in milliseconds, from the dial to the answer
}

// reconnect has each client make attempts until the end, each on a new connection. It adds a
// goroutine for each client to the group and waits for the whole group, including goroutines that
// the caller has added.
func reconnect(ctx context.Context, clients []*client, end time.Time, group *sync.WaitGroup) attemptStats {
	var mu sync.Mutex
	var stats attemptStats
	for _, c := range clients {
		group.Go(func() {
			for time.Now().Before(end) && ctx.Err() == nil {
				start := time.Now()
				err := c.attempt(ctx)
				mu.Lock()
				stats.total++
				if err != nil {
					stats.failed++
				} else {
					stats.latencies = append(stats.latencies, time.Since(start).Seconds()*1000)
				}
				mu.Unlock()
				time.Sleep(reconnectInterval)
			}
		})
	}
	group.Wait()
	return stats
}

// attempt opens a connection, sends one request, waits for its answer and closes the connection.
func (c *client) attempt(ctx context.Context) error {
	defer c.close()
	start := time.Now()
	if err := c.dial(ctx); err != nil {
		return err
	}
	return c.request(clientTimeout - time.Since(start))
}

// requestUntil sends one request after the other until the end. It returns false as soon as a
// request fails.
func (c *client) requestUntil(ctx context.Context, end time.Time) bool {
	for time.Now().Before(end) && ctx.Err() == nil {
		if c.request(keptConnTimeout) != nil {
			return false
		}
	}
	return true
}

func (c *client) dial(ctx context.Context) error {
	c.sentMessages = 0
	conn, err := dialFrom(ctx, c.address, c.server)
	c.conn = conn
	return err
}

// dialFrom connects to a server from a given loopback address.
func dialFrom(ctx context.Context, address net.IP, server string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: clientTimeout, LocalAddr: &net.TCPAddr{IP: address}}
	return dialer.DialContext(ctx, "tcp", server)
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// request sends one request and waits for its answer. It returns errNotFinished for an outcome
// other than finished; any other error means that no valid answer arrived.
func (c *client) request(timeout time.Duration) error {
	if c.conn == nil {
		return net.ErrClosed
	}
	c.sentMessages++
	c.nextID++
	_ = c.conn.SetDeadline(time.Now().Add(timeout))
	message := rpc.Message{
		Number:    c.sentMessages,
		ID:        fmt.Sprintf("%04x%012x", c.number, c.nextID),
		Class:     className,
		ArrivedAt: float64(time.Now().UnixMilli()) / 1000,
		Timeout:   timeout.Seconds(),
		Client:    c.number,
		Memory:    1,
		Priority:  0.5,
		Body:      []byte("x"),
	}
	if _, err := c.conn.Write(rpc.AppendRequest(nil, &message)); err != nil {
		return err
	}
	answer, err := readAnswer(c.conn, c.sentMessages)
	if err != nil {
		return err
	}
	if answer.Kind != rpc.ResponseFinished {
		return errNotFinished
	}
	return nil
}

// readAnswer reads messages until the answer to the message with the given number.
func readAnswer(conn net.Conn, number uint64) (rpc.Response, error) {
	var storage [maxAnswerBytes]byte
	buffered := storage[:0]
	for len(buffered) < cap(buffered) {
		n, err := conn.Read(buffered[len(buffered):cap(buffered)])
		if err != nil {
			return rpc.Response{}, err
		}
		buffered = buffered[:len(buffered)+n]
		for {
			answer, size, err := rpc.ParseResponse(buffered)
			if err != nil {
				return answer, err
			}
			if size == 0 {
				break
			}
			if answer.Number == number && answer.Kind != rpc.ResponseGoAway {
				return answer, nil
			}
			buffered = append(storage[:0], buffered[size:]...)
		}
	}
	return rpc.Response{}, errLongMessage
}
