package fleet

import (
	"context"
	"net"
	"slices"
	"sync"
)

// connLimiter bounds the connections that are open at a time, and the bytes that they reserve. For one
// more connection it closes the oldest that is not in use, so that peers that connect and send slowly,
// or nothing, keep no others out.
type connLimiter struct {
	maxConns int
	maxBytes int

	mu    sync.Mutex
	open  []*limitedConn // in order of their admission
	bytes int            // reserved by the open connections
}

// limitedConn is a connection admitted by a connLimiter.
type limitedConn struct {
	net.Conn
	limiter *connLimiter
	bytes   int  // reserved by the connection; guarded by connLimiter.mu
	inUse   bool // the connection is not closed for another one; guarded by connLimiter.mu
}

// admit adds a connection.
func (l *connLimiter) admit(conn net.Conn) *limitedConn {
	admitted := &limitedConn{Conn: conn, limiter: l}
	l.mu.Lock()
	var oldest *limitedConn
	if len(l.open) >= l.maxConns {
		if i := slices.IndexFunc(l.open, func(c *limitedConn) bool { return !c.inUse }); i >= 0 {
			oldest = l.open[i]
		}
	}
	l.open = append(l.open, admitted)
	l.mu.Unlock()
	if oldest != nil {
		_ = oldest.Close()
	}
	return admitted
}

// reserve adds n bytes that the connection makes the process hold until it is closed. It returns false,
// and adds nothing, if all connections together may not hold that much.
func (c *limitedConn) reserve(n int) bool {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bytes+n > l.maxBytes || !slices.Contains(l.open, c) {
		return false
	}
	c.bytes += n
	l.bytes += n
	return true
}

// Close closes the connection and gives its place and its bytes back.
func (c *limitedConn) Close() error {
	l := c.limiter
	l.mu.Lock()
	if i := slices.Index(l.open, c); i >= 0 {
		l.open = slices.Delete(l.open, i, i+1)
		l.bytes -= c.bytes
	}
	l.mu.Unlock()
	return c.Conn.Close()
}

// setInUse sets whether the connection is kept when another one comes.
func (c *limitedConn) setInUse(inUse bool) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.inUse = inUse
}

// limitedListener is a listener whose connections are admitted by a connLimiter.
type limitedListener struct {
	net.Listener
	limiter *connLimiter
}

// Accept waits for a connection and admits it.
func (l *limitedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.limiter.admit(conn), nil
}

// limitedConnKey is the key of a request's limitedConn in its context.
type limitedConnKey struct{}

// withLimitedConn adds the connection to the context of its requests.
func withLimitedConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, limitedConnKey{}, conn)
}
