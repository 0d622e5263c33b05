package fleet

import (
	"cmp"
	"math/rand/v2"

	wire "swiftcourse/internal/wire/fleet"
)

// Network sends messages to other processes and lists the members. Messages may be lost, duplicated
// or delayed, so the agent never blocks to wait for one.
type Network interface {
	// Send sends an encoded message without blocking.
	Send(addr string, message []byte)
	// AddrOf returns the address of an incarnation of a process, or fallback if it is not a member.
	AddrOf(name string, incarnation uint64, fallback string) string
	// Members returns the listen addresses of the other members by process name.
	Members() map[string]string
	// Sample returns the addresses of at most limit other members, drawn at random.
	Sample(limit int, random *rand.Rand) []string
	// HasMember reports whether any incarnation of the named process is a member.
	HasMember(name string) bool
}

// gossipFanout is the number of members to which a gossiped message is sent, so that it is not lost
// if two of them fail.
const gossipFanout = 3

// send sends a message to an address. It drops the message if the address is empty.
func (a *Agent) send(addr string, message *wire.Envelope) {
	if addr == "" {
		return
	}
	a.setSender(message)
	encoded, err := wire.Encode(message)
	if err != nil {
		a.logger.Info("fleet_message_not_sent", "err", err)
		return
	}
	a.network.Send(addr, encoded)
}

// setSender sets this process as the sender of a message.
func (a *Agent) setSender(message *wire.Envelope) {
	message.From = a.config.Name
	message.Incarnation = a.incarnation
	message.Addr = a.config.ListenAddr
}

// sendToVoter sends a message to the named voter, which may be this process. It drops the message if
// there is no such voter.
func (a *Agent) sendToVoter(now float64, name string, message *wire.Envelope) {
	if name == a.config.Name {
		a.setSender(message)
		a.HandleMessage(now, message)
		return
	}
	a.send(a.config.Voters[name], message)
}

// sendReply sends a response to the sender of a request.
func (a *Agent) sendReply(request, response *wire.Envelope) {
	fallback := cmp.Or(a.config.Voters[request.From], request.Addr)
	a.send(a.network.AddrOf(request.From, request.Incarnation, fallback), response)
}

// routeReply sends a response to the sender of a request, or handles it directly if this process is
// the sender.
func (a *Agent) routeReply(now float64, request, response *wire.Envelope) {
	if request.From == a.config.Name && request.Incarnation == a.incarnation {
		a.setSender(response)
		a.HandleMessage(now, response)
		return
	}
	a.sendReply(request, response)
}

// gossip sends a message to at most fanout other members, chosen at random.
func (a *Agent) gossip(fanout int, message *wire.Envelope) {
	for _, addr := range a.network.Sample(fanout, a.random) {
		a.send(addr, message)
	}
}
