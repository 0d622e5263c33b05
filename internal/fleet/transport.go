package fleet

import (
	"context"
	"net"
	"time"

	"github.com/hashicorp/memberlist"
)

// translatingTransport dials other processes at the addresses that Hooks.TranslateAddr returns,
// instead of their listen addresses.
//
// It also limits the streams that other processes open. The library reads each message of a stream whole,
// in a goroutine of its own, and doesn't limit their number.
type translatingTransport struct {
	*memberlist.NetTransport
	translate func(addr string) string // nil for no translation
	streams   chan net.Conn            // admitted streams
}

const (
	// streamMemoryDivisor is the divisor of the memory limit that bounds the memory of open streams.
	streamMemoryDivisor = 16
	// maxStreams bounds the streams that are open at a time. Each takes milliseconds.
	maxStreams = 32
)

// newTransport returns a transport with a limit on streams, which admits them until the context is done.
func newTransport(ctx context.Context, inner *memberlist.NetTransport, config *Config) *translatingTransport {
	t := &translatingTransport{
		NetTransport: inner,
		translate:    config.Hooks.TranslateAddr,
		streams:      make(chan net.Conn),
	}
	limiter := &connLimiter{maxConns: maxStreams, maxBytes: int(config.memoryBytes() / streamMemoryDivisor)}
	go t.admitStreams(ctx, limiter)
	return t
}

// admitStreams passes the streams that other processes open on.
func (t *translatingTransport) admitStreams(ctx context.Context, limiter *connLimiter) {
	for {
		select {
		case stream := <-t.NetTransport.StreamCh():
			go t.admitStream(ctx, limiter.admit(stream))
		case <-ctx.Done():
			return
		}
	}
}

// admitStream passes a stream on if its head is valid.
func (t *translatingTransport) admitStream(ctx context.Context, stream *limitedConn) {
	checked, err := checkStream(stream, gossipTCPTimeout)
	if err != nil {
		_ = stream.Close()
		return
	}
	select {
	case t.streams <- checked:
	case <-ctx.Done():
		_ = stream.Close()
	}
}

// StreamCh returns the channel of the streams that other processes open.
func (t *translatingTransport) StreamCh() <-chan net.Conn { return t.streams }

func (t *translatingTransport) dialAddr(addr string) string {
	if t.translate == nil {
		return addr
	}
	return t.translate(addr)
}

// WriteTo sends a packet to the translated address.
func (t *translatingTransport) WriteTo(packet []byte, addr string) (time.Time, error) {
	return t.NetTransport.WriteTo(packet, t.dialAddr(addr))
}

// WriteToAddress sends a packet to the translated address.
func (t *translatingTransport) WriteToAddress(packet []byte, addr memberlist.Address) (time.Time, error) {
	return t.WriteTo(packet, addr.Addr)
}

// DialTimeout opens a stream to the translated address.
func (t *translatingTransport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.NetTransport.DialTimeout(t.dialAddr(addr), timeout)
}

// DialAddressTimeout opens a stream to the translated address.
func (t *translatingTransport) DialAddressTimeout(addr memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(addr.Addr, timeout)
}
