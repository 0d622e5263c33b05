package faultinjection

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Link is one direction between two processes. The zero Link is a good one.
type Link struct {
	Cut            bool // nothing gets through; connections stay half open
	Loss           float64
	Duplicate      float64
	Delay          time.Duration
	Jitter         time.Duration // drawn on top, so that packets overtake one another
	BytesPerSecond float64       // bytes a second of a connection, 0 for any
}

// direction is a direction.
type direction struct{ from, to string }

// Network is the relays of a fleet.
type Network struct {
	mu        sync.Mutex
	links     map[direction]Link
	chance    *rand.Rand
	closed    chan struct{}
	closers   []interface{ Close() error }
	bytesSent map[string]int64 // that each process sent, packets and connections
}

// NewNet makes one without relays.
func NewNet(seed uint64) *Network {
	return &Network{links: map[direction]Link{}, chance: rand.New(rand.NewPCG(seed, 5)), closed: make(chan struct{}), bytesSent: map[string]int64{}}
}

// SetLink changes one direction.
func (n *Network) SetLink(from, to string, l Link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[direction{from, to}] = l
}

// Heal makes all links good.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.links)
}

// Partition cuts, both ways, between the groups.
func (n *Network) Partition(groups ...[]string) {
	for i, group := range groups {
		for j, other := range groups {
			if i == j {
				continue
			}
			for _, a := range group {
				for _, b := range other {
					n.SetLink(a, b, Link{Cut: true})
				}
			}
		}
	}
}

// Close ends all relays.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.closed)
	for _, end := range n.closers {
		_ = end.Close()
	}
}

func (n *Network) planTransfer(from, to string, size int) (l Link, lost, twice bool, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytesSent[from] += int64(size)
	l = n.links[direction{from, to}]
	delay = l.Delay
	if l.Jitter > 0 {
		delay += time.Duration(n.chance.Int64N(int64(l.Jitter)))
	}
	return l, l.Cut || n.chance.Float64() < l.Loss, n.chance.Float64() < l.Duplicate, delay
}

// BytesSent is what a process sent so far, in bytes.
func (n *Network) BytesSent(name string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytesSent[name]
}

// AddRelay opens the way from one process to where another listens, TCP and UDP, and gives the address to use instead.
func (n *Network) AddRelay(from, to, addr string) (string, error) {
	var tcp net.Listener
	var udp net.PacketConn
	var err error
	for range 20 { // the same port has to be free for both
		if tcp, err = net.Listen("tcp", "127.0.0.8:0"); err != nil {
			return "", err
		}
		if udp, err = net.ListenPacket("udp", tcp.Addr().String()); err == nil {
			break
		}
		_ = tcp.Close()
	}
	if err != nil {
		return "", err
	}
	out, err := net.Dial("udp", addr)
	if err != nil {
		return "", err
	}
	n.mu.Lock()
	n.closers = append(n.closers, tcp, udp, out)
	n.mu.Unlock()
	go n.relayPackets(from, to, udp, out)
	go n.relayConnections(from, to, tcp, addr)
	return tcp.Addr().String(), nil
}

func (n *Network) relayPackets(from, to string, in net.PacketConn, out net.Conn) {
	b := make([]byte, 1<<16)
	for {
		size, _, err := in.ReadFrom(b)
		if err != nil {
			return
		}
		_, lost, twice, delay := n.planTransfer(from, to, size)
		if lost {
			continue
		}
		packet := append([]byte(nil), b[:size]...)
		for range 1 + map[bool]int{true: 1}[twice] {
			if delay == 0 {
				_, _ = out.Write(packet) // the other side may be down
				continue
			}
			time.AfterFunc(delay, func() { _, _ = out.Write(packet) })
		}
	}
}

func (n *Network) relayConnections(from, to string, l net.Listener, addr string) {
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer in.Close()
			if !n.waitUncut(from, to) {
				return
			}
			out, err := net.DialTimeout("tcp", addr, 5*time.Second)
			if err != nil {
				return
			}
			defer out.Close()
			done := make(chan struct{}, 2)
			go func() { n.copyStream(from, to, in, out); done <- struct{}{} }()
			go func() { n.copyStream(to, from, out, in); done <- struct{}{} }()
			<-done
		}()
	}
}

// maxHalfOpen is how long a connection stays half open in a cut before the relay gives it up, as a host's own patience does.
const maxHalfOpen = 30 * time.Second

// waitUncut waits until a direction is not cut; false where that takes too long.
func (n *Network) waitUncut(from, to string) bool {
	for end := time.Now().Add(maxHalfOpen); time.Now().Before(end); {
		if l, _, _, _ := n.planTransfer(from, to, 0); !l.Cut {
			return true
		}
		select {
		case <-n.closed:
			return false
		case <-time.After(20 * time.Millisecond):
		}
	}
	return false
}

func (n *Network) copyStream(from, to string, in, out net.Conn) {
	b := make([]byte, 4096)
	for {
		piece := b
		if l, _, _, _ := n.planTransfer(from, to, 0); l.BytesPerSecond > 0 {
			piece = b[:max(1, min(len(b), int(l.BytesPerSecond/10)))]
		}
		size, err := in.Read(piece)
		if size > 0 {
			if !n.waitUncut(from, to) {
				return
			}
			l, _, _, delay := n.planTransfer(from, to, size)
			if l.BytesPerSecond > 0 {
				delay += time.Duration(float64(size) / l.BytesPerSecond * float64(time.Second))
			}
			select {
			case <-time.After(delay):
			case <-n.closed:
				return
			}
			if _, err := out.Write(piece[:size]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
