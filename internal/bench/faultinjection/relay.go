package faultinjection

import (
	"fmt"
	"net"
	"slices"
	"time"

	"swiftcourse/internal/bench/timing"
)

const (
	// relayHost is the address on which relays listen, with a port chosen by the system.
	relayHost = "127.0.0.8:0"
	// maxRelayBinds is the number of attempts to find a port that is free for both TCP and UDP.
	maxRelayBinds = 20
	// relayDialTimeout is the timeout for opening a relayed connection.
	relayDialTimeout = 5 * time.Second
	// maxHalfOpen is how long a connection over a cut link stays half open before the relay closes
	// it, like the TCP timeout of a host.
	maxHalfOpen = 30 * time.Second
	// cutCheckInterval is the time between two checks whether a link is still cut.
	cutCheckInterval = 20 * time.Millisecond
	// maxPacketBytes and streamBufferBytes are the buffer sizes, in bytes, for packets and
	// connections.
	maxPacketBytes    = 1 << 16
	streamBufferBytes = 4096
	// minReadsPerSecond is the minimum number of reads per second on a connection with a limited
	// rate, so that its bytes are spread over time.
	minReadsPerSecond = 10
)

// impairment is what a link does to one packet or one piece of a stream.
type impairment struct {
	link        Link
	isLost      bool
	isDuplicate bool
	delay       time.Duration
}

// drawImpairment counts the bytes that a process sends, and draws their loss, duplication and delay
// by the present state of the link.
func (n *Network) drawImpairment(from, to string, size int) impairment {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytesSent[from] += int64(size)
	link := n.links[direction{from, to}]
	delay := link.Delay
	if link.Jitter > 0 {
		delay += time.Duration(n.random.Int64N(int64(link.Jitter)))
	}
	isLost := link.Cut || n.random.Float64() < link.Loss
	isDuplicate := n.random.Float64() < link.Duplicate
	return impairment{link: link, isLost: isLost, isDuplicate: isDuplicate, delay: delay}
}

// AddRelay starts a relay for TCP and UDP from one process to the address on which another listens,
// and returns the relay's address, which the first process has to use instead.
func (n *Network) AddRelay(from, to, addr string) (string, error) {
	listener, packets, err := listenBoth()
	if err != nil {
		return "", err
	}
	out, err := net.Dial("udp", addr)
	if err != nil {
		return "", err
	}
	n.mu.Lock()
	n.closers = append(n.closers, listener, packets, out)
	n.mu.Unlock()
	go n.relayPackets(from, to, packets, out)
	go n.relayConnections(from, to, listener, addr)
	return listener.Addr().String(), nil
}

// listenBoth listens for TCP and UDP on the same port.
func listenBoth() (listener net.Listener, packets net.PacketConn, err error) {
	for range maxRelayBinds {
		listener, err = net.Listen("tcp", relayHost)
		if err != nil {
			return nil, nil, err
		}
		packets, err = net.ListenPacket("udp", listener.Addr().String())
		if err == nil {
			return listener, packets, nil
		}
		_ = listener.Close()
	}
	return nil, nil, fmt.Errorf("no port free for both TCP and UDP in %d attempts: %w", maxRelayBinds, err)
}

// relayPackets relays UDP packets until the relay is closed.
func (n *Network) relayPackets(from, to string, in net.PacketConn, out net.Conn) {
	buffer := make([]byte, maxPacketBytes)
	for {
		size, _, err := in.ReadFrom(buffer)
		if err != nil {
			return
		}
		drawn := n.drawImpairment(from, to, size)
		if drawn.isLost {
			continue
		}
		packet := slices.Clone(buffer[:size])
		sendPacket(out, packet, drawn.delay)
		if drawn.isDuplicate {
			sendPacket(out, packet, drawn.delay)
		}
	}
}

// sendPacket sends a packet after a delay. Errors are ignored, since the receiver may be down.
func sendPacket(out net.Conn, packet []byte, delay time.Duration) {
	if delay == 0 {
		_, _ = out.Write(packet)
		return
	}
	time.AfterFunc(delay, func() { _, _ = out.Write(packet) })
}

// relayConnections relays TCP connections until the relay is closed.
func (n *Network) relayConnections(from, to string, listener net.Listener, addr string) {
	for {
		in, err := listener.Accept()
		if err != nil {
			return
		}
		go n.relayConnection(from, to, in, addr)
	}
}

// relayConnection relays one connection until one side closes it. Errors are ignored, since either
// side may be down.
func (n *Network) relayConnection(from, to string, in net.Conn, addr string) {
	defer func() { _ = in.Close() }()
	if !n.waitWhileCut(from, to) {
		return
	}
	out, err := net.DialTimeout("tcp", addr, relayDialTimeout)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	done := make(chan struct{}, 2)
	go func() {
		n.copyStream(from, to, in, out)
		done <- struct{}{}
	}()
	go func() {
		n.copyStream(to, from, out, in)
		done <- struct{}{}
	}()
	<-done
}

// waitWhileCut waits while the link is cut. It returns false if the link is cut for maxHalfOpen or
// the network is closed.
func (n *Network) waitWhileCut(from, to string) bool {
	for end := time.Now().Add(maxHalfOpen); time.Now().Before(end); {
		if !n.drawImpairment(from, to, 0).link.Cut {
			return true
		}
		select {
		case <-n.closed:
			return false
		case <-time.After(cutCheckInterval):
		}
	}
	return false
}

// copyStream copies one direction of a connection with the delay and the rate of its link.
func (n *Network) copyStream(from, to string, in, out net.Conn) {
	buffer := make([]byte, streamBufferBytes)
	for {
		piece := buffer
		if rate := n.drawImpairment(from, to, 0).link.BytesPerSecond; rate > 0 {
			piece = buffer[:max(1, min(len(buffer), int(rate/minReadsPerSecond)))]
		}
		size, err := in.Read(piece)
		if size > 0 && !n.forward(from, to, piece[:size], out) {
			return
		}
		if err != nil {
			return
		}
	}
}

// forward writes data after its delay, and reports whether the connection can continue.
func (n *Network) forward(from, to string, data []byte, out net.Conn) bool {
	if !n.waitWhileCut(from, to) {
		return false
	}
	drawn := n.drawImpairment(from, to, len(data))
	delay := drawn.delay
	if rate := drawn.link.BytesPerSecond; rate > 0 {
		delay += timing.Seconds(float64(len(data)) / rate)
	}
	select {
	case <-time.After(delay):
	case <-n.closed:
		return false
	}
	_, err := out.Write(data)
	return err == nil
}
