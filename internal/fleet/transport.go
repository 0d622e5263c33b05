package fleet

import (
	"net"
	"time"

	"github.com/hashicorp/memberlist"
)

// translatingTransport dials other processes at the addresses that Hooks.TranslateAddr returns,
// instead of their listen addresses.
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
