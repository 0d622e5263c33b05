// Package tcpserver runs the accept loop that the fakes share. Each accepted connection is handled in a goroutine
// of its own, which closes it when the handler returns.
package tcpserver

import (
	"fmt"
	"net"
)

// Start listens on a TCP address and calls handle for each connection until the returned listener is closed.
// Connections that are open then stay open until their handler returns.
func Start(address string, handle func(net.Conn)) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("fake server: %w", err)
	}
	go accept(listener, handle)
	return listener, nil
}

// accept runs the accept loop until the listener is closed.
func accept(listener net.Listener, handle func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			handle(conn)
		}()
	}
}
