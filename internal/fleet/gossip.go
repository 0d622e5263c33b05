package fleet

import (
	"context"
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

// gossipNetwork implements Network with memberlist, which maintains the list of members by gossip and
// indirect probes. It sends a message by UDP, or by TCP if it is larger than maxDatagramBytes. Each
// incarnation is a separate member, so that a restarted process is never taken for its predecessor.
type gossipNetwork struct {
	list       *memberlist.Memberlist
	memberName string // of this process

	mu          sync.Mutex
	sendsByAddr map[string]int // large messages being sent, by address
	totalSends  int            // large messages being sent to all addresses
}

const (
	maxDatagramBytes = 1300 // fits into one UDP datagram on any path
	// maxSendsPerAddr and maxSends limit the large messages being sent to one address and to all
	// addresses, so that a peer that does not read does not block messages to others.
	maxSendsPerAddr = 2
	maxSends        = 64

	gossipTCPTimeout = 2 * time.Second
	// gossipToTheDeadTime is how long gossip is still sent to a member that counts as failed, so that
	// it can refute this.
	gossipToTheDeadTime = 10 * time.Second
	leaveTimeout        = 200 * time.Millisecond
	// The interval between two checks whether to join doubles from minJoinInterval to maxJoinInterval.
	minJoinInterval = 100 * time.Millisecond
	maxJoinInterval = 2 * time.Second
)

// memberName returns the name under which an incarnation of a process is a member.
func memberName(name string, incarnation uint64) string {
	return fmt.Sprintf("%s/%016x", name, incarnation)
}

// processName returns the name of a member's process.
func processName(member string) string {
	name, _, _ := strings.Cut(member, "/")
	return name
}

// receiver handles an encoded message. The network calls it on its own goroutines, concurrently.
type receiver func(message []byte)

// joinGossip starts to listen, and joins the other members in the background until the context is
// done.
func joinGossip(ctx context.Context, config *Config, incarnation uint64, receive receiver) (*gossipNetwork, error) {
	bindIP, port, err := resolveAddr(config.ListenAddr)
	if err != nil {
		return nil, err
	}
	transport, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{bindIP.String()},
		BindPort:  port,
		Logger:    log.New(io.Discard, "", 0),
	})
	if err != nil {
		return nil, err
	}
	settings := memberlist.DefaultLANConfig()
	settings.Name = memberName(config.Name, incarnation)
	settings.BindAddr = bindIP.String()
	settings.BindPort = port
	settings.AdvertiseAddr = bindIP.String()
	settings.AdvertisePort = port
	settings.TCPTimeout = gossipTCPTimeout
	settings.EnableCompression = false // messages are short, and a release's text is sent only once
	settings.GossipToTheDeadTime = gossipToTheDeadTime
	settings.LogOutput = io.Discard
	settings.Logger = nil
	settings.Delegate = messageDelegate{receive}
	settings.Events = membershipLogger{config.logger()}
	settings.Transport = newTransport(ctx, transport, config)
	list, err := memberlist.Create(settings)
	if err != nil {
		_ = transport.Shutdown()
		return nil, err
	}
	n := &gossipNetwork{list: list, memberName: settings.Name, sendsByAddr: map[string]int{}}
	go n.join(ctx, config)
	return n, nil
}

// join joins the configured members, and does so again whenever it knows at most half as many other
// members as are configured. Thus both sides of a partition try to heal it.
func (n *gossipNetwork) join(ctx context.Context, config *Config) {
	var others []string
	for _, addr := range config.Voters {
		if addr != config.ListenAddr {
			others = append(others, addr)
		}
	}
	others = append(others, config.JoinAddrs...)
	if len(others) == 0 {
		return
	}
	for interval := minJoinInterval; ; interval = min(2*interval, maxJoinInterval) {
		if n.list.NumMembers() <= 1+len(others)/2 {
			_, _ = n.list.Join(others)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
	}
}

func (n *gossipNetwork) close() {
	_ = n.list.Leave(leaveTimeout)
	_ = n.list.Shutdown()
}

// Send sends a message without blocking. The message may be lost.
func (n *gossipNetwork) Send(addr string, message []byte) {
	if len(message) <= maxDatagramBytes {
		_ = n.list.SendToAddress(memberlist.Address{Addr: addr}, message)
		return
	}
	ip, port, err := resolveAddr(addr)
	if err != nil || !n.acquireSend(addr) {
		return
	}
	go func() {
		defer n.releaseSend(addr)
		_ = n.list.SendReliable(&memberlist.Node{Addr: ip, Port: uint16(port)}, message)
	}()
}

// acquireSend reports whether another large message may be sent to an address, and counts it if so.
// The caller then has to call releaseSend.
func (n *gossipNetwork) acquireSend(addr string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.sendsByAddr[addr] >= maxSendsPerAddr || n.totalSends >= maxSends {
		return false
	}
	n.sendsByAddr[addr]++
	n.totalSends++
	return true
}

func (n *gossipNetwork) releaseSend(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.totalSends--
	n.sendsByAddr[addr]--
	if n.sendsByAddr[addr] == 0 {
		delete(n.sendsByAddr, addr)
	}
}

// AddrOf returns the address of an incarnation, or fallback if it is not a member.
func (n *gossipNetwork) AddrOf(name string, incarnation uint64, fallback string) string {
	fullName := memberName(name, incarnation)
	for _, member := range n.list.Members() {
		if member.Name == fullName {
			return member.Address()
		}
	}
	return fallback
}

// Members returns the addresses of the other members by process name.
func (n *gossipNetwork) Members() map[string]string {
	others := map[string]string{}
	for _, member := range n.list.Members() {
		if member.Name != n.memberName {
			others[processName(member.Name)] = member.Address()
		}
	}
	return others
}

// HasMember reports whether any incarnation of a process is a member.
func (n *gossipNetwork) HasMember(name string) bool {
	for _, member := range n.list.Members() {
		if processName(member.Name) == name {
			return true
		}
	}
	return false
}

// Sample returns the addresses of at most limit other members, drawn at random.
func (n *gossipNetwork) Sample(limit int, random *rand.Rand) []string {
	members := n.list.Members()
	random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	var addrs []string
	for _, member := range members {
		if member.Name != n.memberName && len(addrs) < limit {
			addrs = append(addrs, member.Address())
		}
	}
	return addrs
}

// messageDelegate is a memberlist.Delegate that only receives the messages to this member.
type messageDelegate struct{ receive receiver }

// NodeMeta returns no metadata.
func (messageDelegate) NodeMeta(int) []byte { return nil }

// NotifyMsg handles a message to this member.
func (d messageDelegate) NotifyMsg(message []byte) { d.receive(message) }

// GetBroadcasts returns no broadcasts.
func (messageDelegate) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState returns no state.
func (messageDelegate) LocalState(bool) []byte { return nil }

// MergeRemoteState ignores the state of other members.
func (messageDelegate) MergeRemoteState([]byte, bool) {}

// membershipLogger logs members when they join and leave.
type membershipLogger struct{ logger *slog.Logger }

// NotifyJoin logs an incarnation that joined.
func (l membershipLogger) NotifyJoin(member *memberlist.Node) {
	l.logger.Info("member_joined", "name", member.Name, "addr", member.Address())
}

// NotifyLeave logs an incarnation that left or failed.
func (l membershipLogger) NotifyLeave(member *memberlist.Node) {
	l.logger.Info("member_left", "name", member.Name, "addr", member.Address())
}

// NotifyUpdate ignores changes of a member.
func (membershipLogger) NotifyUpdate(*memberlist.Node) {}

// resolveAddr resolves an address of the form host:port.
func resolveAddr(addr string) (ip net.IP, port int, err error) {
	resolved, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return nil, 0, err
	}
	return resolved.IP, resolved.Port, nil
}
