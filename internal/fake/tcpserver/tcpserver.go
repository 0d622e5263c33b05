// Package tcpserver implements the accept loop of the fakes. Each accepted connection is handled in
// its own goroutine, which closes the connection when the handler returns.
package tcpserver

import (
	"fmt"
	"net"
)

// Start listens on a TCP address and calls handle for each connection until the returned listener
// is closed. Open connections are not closed with the listener, but when their handler returns.
func Start(address string, handle func(net.Conn)) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("start a fake server on %s: %w", address, err)
	}
	go accept(listener, handle)
	return listener, nil
}

// accept accepts connections until the listener is closed.
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
