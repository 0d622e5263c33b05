package fleet

import (
	"fmt"
	"io"
	"log"
	"log/slog"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// gossipNetwork is the talk itself, by memberlist: who is there by gossip with indirect probes, and messages to one by UDP, or by TCP where they are
// larger than a packet. A life is a member of its own, so that a restart is never taken for what was there before.
type gossipNetwork struct {
	list *memberlist.Memberlist
	name string // this member's
	mu   sync.Mutex
	busy map[string]int // large messages on their way, by address
}

const (
	maxPacket = 1300 // bytes that go as one packet on any path
	// maxBusy large messages go to one address at a time, and maxBusyAll to all: a peer that does not read holds up nobody.
	maxBusy, maxBusyAll = 2, 64
	talkTimeout         = 2 * time.Second
)

func memberName(name string, life uint64) string { return fmt.Sprintf("%s/%016x", name, life) }

// nameOf is the server's name in a member's.
func nameOf(member string) string {
	name, _, _ := strings.Cut(member, "/")
	return name
}

func joinGossip(p *Config, life uint64, receive func([]byte)) (*gossipNetwork, error) {
	ip, port, err := resolveAddr(p.ListenAddr)
	if err != nil {
		return nil, err
	}
	c := memberlist.DefaultLANConfig()
	c.Name = memberName(p.Name, life)
	c.BindAddr, c.BindPort, c.AdvertiseAddr, c.AdvertisePort = ip.String(), port, ip.String(), port
	c.TCPTimeout = talkTimeout
	c.EnableCompression = false // what is said is short, and a version's text goes once
	c.GossipToTheDeadTime = 10 * time.Second
	c.LogOutput = io.Discard
	c.Logger = nil
	c.Delegate = messageDelegate{receive}
	c.Events = membershipLogger{}
	transport, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{ip.String()}, BindPort: port,
		Logger: log.New(io.Discard, "", 0)})
	if err != nil {
		return nil, err
	}
	c.Transport = &relayTransport{transport, p.RelayAddrs}
	list, err := memberlist.Create(c)
	if err != nil {
		_ = transport.Shutdown()
		return nil, err
	}
	n := &gossipNetwork{list: list, name: c.Name, busy: map[string]int{}}
	go n.join(p)
	return n, nil
}

// join looks for others until there are some, and again whenever there are none.
func (n *gossipNetwork) join(p *Config) {
	var others []string
	for _, addr := range p.Voters {
		if addr != p.ListenAddr {
			others = append(others, addr)
		}
	}
	others = append(others, p.JoinAddrs...)
	for wait := 100 * time.Millisecond; len(others) > 0; {
		if n.list.NumMembers() <= 1+len(others)/2 { // a cut heals from whichever side
			_, _ = n.list.Join(others)
		}
		time.Sleep(wait)
		wait = min(2*wait, 2*time.Second)
		if n.list.LocalNode().State != memberlist.StateAlive {
			return
		}
	}
}

func (n *gossipNetwork) close() {
	_ = n.list.Leave(200 * time.Millisecond)
	_ = n.list.Shutdown()
}

// Send brings a message on its way; it may be lost, as on any network.
func (n *gossipNetwork) Send(addr string, b []byte) {
	if len(b) <= maxPacket {
		_ = n.list.SendToAddress(memberlist.Address{Addr: addr}, b)
		return
	}
	ip, port, err := resolveAddr(addr)
	if err != nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.busy[addr] >= maxBusy || n.busy[""] >= maxBusyAll {
		return
	}
	n.busy[addr]++
	n.busy[""]++
	go func() {
		_ = n.list.SendReliable(&memberlist.Node{Addr: ip, Port: uint16(port)}, b)
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.busy[addr]--; n.busy[addr] == 0 {
			delete(n.busy, addr)
		}
		n.busy[""]--
	}()
}

// AddrOf is the address of a life, else where its name is said to listen.
func (n *gossipNetwork) AddrOf(name string, life uint64, said string) string {
	for _, m := range n.list.Members() {
		if m.Name == memberName(name, life) {
			return m.Address()
		}
	}
	return said
}

// Members lists the others that are there, by name.
func (n *gossipNetwork) Members() map[string]string {
	others := map[string]string{}
	for _, m := range n.list.Members() {
		if m.Name != n.name {
			others[nameOf(m.Name)] = m.Address()
		}
	}
	return others
}

func (n *gossipNetwork) HasMember(name string) bool {
	for _, m := range n.list.Members() {
		if nameOf(m.Name) == name {
			return true
		}
	}
	return false
}

// Sample draws so many of the others.
func (n *gossipNetwork) Sample(most int, chance *rand.Rand) (addrs []string) {
	members := n.list.Members()
	chance.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	for _, m := range members {
		if m.Name != n.name && len(addrs) < most {
			addrs = append(addrs, m.Address())
		}
	}
	return addrs
}

// messageDelegate is what memberlist asks for; only messages to one are used.
type messageDelegate struct{ receive func([]byte) }

func (messageDelegate) NodeMeta(int) []byte             { return nil }
func (h messageDelegate) NotifyMsg(b []byte)            { h.receive(b) }
func (messageDelegate) GetBroadcasts(int, int) [][]byte { return nil }
func (messageDelegate) LocalState(bool) []byte          { return nil }
func (messageDelegate) MergeRemoteState([]byte, bool)   {}

type membershipLogger struct{}

func (membershipLogger) NotifyJoin(m *memberlist.Node) {
	slog.Info("fleet_member", "name", m.Name, "addr", m.Address(), "there", true)
}
func (membershipLogger) NotifyLeave(m *memberlist.Node) {
	slog.Info("fleet_member", "name", m.Name, "addr", m.Address(), "there", false)
}
func (membershipLogger) NotifyUpdate(*memberlist.Node) {}

// relayTransport has peers reached elsewhere than where they listen, for tests that put relays between them.
type relayTransport struct {
	*memberlist.NetTransport
	relays map[string]string
}

func (t *relayTransport) relayFor(addr string) string {
	if via, is := t.relays[addr]; is {
		return via
	}
	return addr
}

func (t *relayTransport) WriteTo(b []byte, addr string) (time.Time, error) {
	return t.NetTransport.WriteTo(b, t.relayFor(addr))
}

func (t *relayTransport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return t.NetTransport.WriteTo(b, t.relayFor(a.Addr))
}

func (t *relayTransport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.NetTransport.DialTimeout(t.relayFor(addr), timeout)
}

func (t *relayTransport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.NetTransport.DialTimeout(t.relayFor(a.Addr), timeout)
}
