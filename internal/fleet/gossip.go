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

// gossipNetwork is a Network on top of memberlist, which finds the members by gossip with indirect
// probes. A message goes by UDP, or by TCP if it is larger than maxDatagram. Each incarnation is a
// member of its own, so that a restarted process is never mistaken for its predecessor.
type gossipNetwork struct {
	list       *memberlist.Memberlist
	memberName string // this process's

	mu          sync.Mutex
	sendsByAddr map[string]int // large messages on their way, by address
	totalSends  int            // of all addresses
}

const (
	maxDatagram = 1300 // bytes that fit into one UDP datagram on any path
	// maxSendsPerAddr large messages are sent to one address at a time, and maxSends to all of them,
	// so that a peer that does not read doesn't block messages to others.
	maxSendsPerAddr = 2
	maxSends        = 64

	gossipTCPTimeout    = 2 * time.Second
	gossipToTheDeadTime = 10 * time.Second
	leaveTimeout        = 200 * time.Millisecond
	minJoinInterval     = 100 * time.Millisecond
	maxJoinInterval     = 2 * time.Second
)

func memberName(name string, incarnation uint64) string {
	return fmt.Sprintf("%s/%016x", name, incarnation)
}

// processName returns the name of the process from that of a member.
func processName(member string) string {
	name, _, _ := strings.Cut(member, "/")
	return name
}

// receiver handles an encoded message, on the network's goroutines.
type receiver func(message []byte)

// joinGossip starts to listen, and joins the others until the context is done.
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
	settings.EnableCompression = false // messages are short, and a release's text goes once
	settings.GossipToTheDeadTime = gossipToTheDeadTime
	settings.LogOutput = io.Discard
	settings.Logger = nil
	settings.Delegate = messageDelegate{receive}
	settings.Events = membershipLogger{config.logger()}
	settings.Transport = &translatingTransport{NetTransport: transport, translate: config.Hooks.TranslateAddr}
	list, err := memberlist.Create(settings)
	if err != nil {
		_ = transport.Shutdown()
		return nil, err
	}
	n := &gossipNetwork{list: list, memberName: settings.Name, sendsByAddr: map[string]int{}}
	go n.join(ctx, config)
	return n, nil
}

// join joins the configured members until more than half as many are there, and again whenever fewer
// are, so that both sides of a partition try to heal it.
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

// Send sends a message without blocking; it may be lost, as on any network.
func (n *gossipNetwork) Send(addr string, message []byte) {
	if len(message) <= maxDatagram {
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

// acquireSend reports whether one more large message may go to an address, and counts it.
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

// AddrOf returns the address of an incarnation, or fallback if it is no member.
func (n *gossipNetwork) AddrOf(name string, incarnation uint64, fallback string) string {
	wanted := memberName(name, incarnation)
	for _, member := range n.list.Members() {
		if member.Name == wanted {
			return member.Address()
		}
	}
	return fallback
}

// Members returns the other members' addresses by the processes' names.
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

// messageDelegate receives the messages to this member. It uses nothing else of what memberlist's
// Delegate offers.
type messageDelegate struct{ receive receiver }

// NodeMeta returns no metadata.
func (messageDelegate) NodeMeta(int) []byte { return nil }

// NotifyMsg handles a message to this member.
func (d messageDelegate) NotifyMsg(message []byte) { d.receive(message) }

// GetBroadcasts returns no broadcasts.
func (messageDelegate) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState returns no state.
func (messageDelegate) LocalState(bool) []byte { return nil }

// MergeRemoteState drops others' state.
func (messageDelegate) MergeRemoteState([]byte, bool) {}

// membershipLogger logs members that join and leave.
type membershipLogger struct{ logger *slog.Logger }

// NotifyJoin logs an incarnation that was found.
func (l membershipLogger) NotifyJoin(member *memberlist.Node) {
	l.logger.Info("member_joined", "name", member.Name, "addr", member.Address())
}

// NotifyLeave logs an incarnation that is gone.
func (l membershipLogger) NotifyLeave(member *memberlist.Node) {
	l.logger.Info("member_left", "name", member.Name, "addr", member.Address())
}

// NotifyUpdate ignores changes of a member.
func (membershipLogger) NotifyUpdate(*memberlist.Node) {}

// resolveAddr resolves host and port.
func resolveAddr(addr string) (ip net.IP, port int, err error) {
	resolved, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return nil, 0, err
	}
	return resolved.IP, resolved.Port, nil
}
