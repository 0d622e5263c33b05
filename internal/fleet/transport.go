package fleet

import (
	"net"
	"time"

	"github.com/hashicorp/memberlist"
)

// translatingTransport dials others at the address that Hooks.TranslateAddr returns, in place of
// where they listen.
type translatingTransport struct {
	*memberlist.NetTransport
	translate func(addr string) string // nil for no translation
}

func (t *translatingTransport) dialAddr(addr string) string {
	if t.translate == nil {
		return addr
	}
	return t.translate(addr)
}

// WriteTo sends a packet.
func (t *translatingTransport) WriteTo(packet []byte, addr string) (time.Time, error) {
	return t.NetTransport.WriteTo(packet, t.dialAddr(addr))
}

// WriteToAddress sends a packet.
func (t *translatingTransport) WriteToAddress(packet []byte, addr memberlist.Address) (time.Time, error) {
	return t.WriteTo(packet, addr.Addr)
}

// DialTimeout opens a stream.
func (t *translatingTransport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.NetTransport.DialTimeout(t.dialAddr(addr), timeout)
}

// DialAddressTimeout opens a stream.
func (t *translatingTransport) DialAddressTimeout(addr memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(addr.Addr, timeout)
}
