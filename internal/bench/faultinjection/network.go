package faultinjection

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Link is the state of one direction between two processes. The zero Link forwards everything
// unchanged.
type Link struct {
	Cut            bool          // nothing is forwarded; connections stay half open
	Loss           float64       // probability that a packet is lost
	Duplicate      float64       // probability that a packet is sent twice
	Delay          time.Duration // minimum delay
	Jitter         time.Duration // maximum additional delay, drawn for each packet, so that packets are reordered
	BytesPerSecond float64       // maximum rate of a connection; 0 for no limit
}

// direction is an ordered pair of process names.
type direction struct{ from, to string }

// Network is the set of relays of a fleet. Its methods may be called from any goroutine.
type Network struct {
	mu        sync.Mutex
	links     map[direction]Link
	random    *rand.Rand
	closed    chan struct{}
	closers   []interface{ Close() error }
	bytesSent map[string]int64 // by sending process, in packets and on connections
}

// NewNetwork returns a network without relays. Its random decisions come from the seed.
func NewNetwork(seed uint64) *Network {
	return &Network{
		links:     map[direction]Link{},
		random:    rand.New(rand.NewPCG(seed, 5)),
		closed:    make(chan struct{}),
		bytesSent: map[string]int64{},
	}
}

// SetLink sets the link from one process to another.
func (n *Network) SetLink(from, to string, l Link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[direction{from, to}] = l
}

// Heal resets all links to the zero Link.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.links)
}

// Partition cuts both directions between processes of different groups.
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

// RandomPartition divides the processes randomly into a minority and a majority.
func RandomPartition(random *rand.Rand, names []string) (minority, majority []string) {
	shuffled := slices.Clone(names)
	random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	minoritySize := (len(shuffled) - 1) / 2
	return shuffled[:minoritySize], shuffled[minoritySize:]
}

// Close closes all relays.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.closed)
	for _, closer := range n.closers {
		_ = closer.Close()
	}
}

// BytesSent returns the bytes that a process has sent.
func (n *Network) BytesSent(name string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytesSent[name]
}
