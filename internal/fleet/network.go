package fleet

import (
	"cmp"
	"math/rand/v2"

	wire "swiftcourse/internal/wire/fleet"
)

// Network carries messages to other processes, and knows the members. A message may be lost,
// duplicated or late; nothing waits for one.
type Network interface {
	// Send sends an encoded message without blocking.
	Send(addr string, message []byte)
	// AddrOf returns the address of a process's incarnation, or fallback if that one is not a
	// member.
	AddrOf(name string, incarnation uint64, fallback string) string
	// Members returns the names of the other members, and where they listen.
	Members() map[string]string
	// Sample returns the addresses of at most limit other members, drawn at random.
	Sample(limit int, random *rand.Rand) []string
	// HasMember reports whether a process of that name is a member.
	HasMember(name string) bool
}

// gossipFanout is how many others receive each gossiped message, so that it is not lost if two
// of them die.
const gossipFanout = 3

// send sends a message to an address, or drops it if that is "".
func (a *Agent) send(addr string, message *wire.Envelope) {
	if addr == "" {
		return
	}
	a.stamp(message)
	encoded, err := wire.Encode(message)
	if err != nil {
		a.logger.Info("fleet_message_not_sent", "err", err)
		return
	}
	a.network.Send(addr, encoded)
}

// stamp sets this process as the sender.
func (a *Agent) stamp(message *wire.Envelope) {
	message.From = a.config.Name
	message.Incarnation = a.incarnation
	message.Addr = a.config.ListenAddr
}

// sendToVoter sends a message to a voter, which may be this process, or drops it if there is
// none of that name.
func (a *Agent) sendToVoter(now float64, name string, message *wire.Envelope) {
	if name == a.config.Name {
		a.stamp(message)
		a.HandleMessage(now, message)
		return
	}
	a.send(a.config.Voters[name], message)
}

// sendReply sends a response to the process that sent a request.
func (a *Agent) sendReply(request, response *wire.Envelope) {
	fallback := cmp.Or(a.config.Voters[request.From], request.Addr)
	a.send(a.network.AddrOf(request.From, request.Incarnation, fallback), response)
}

// routeReply handles a response to a request of this process itself, and sends any other.
func (a *Agent) routeReply(now float64, request, response *wire.Envelope) {
	if request.From == a.config.Name && request.Incarnation == a.incarnation {
		a.stamp(response)
		a.HandleMessage(now, response)
		return
	}
	a.sendReply(request, response)
}

// gossip sends a message to some other members.
func (a *Agent) gossip(fanout int, message *wire.Envelope) {
	for _, addr := range a.network.Sample(fanout, a.random) {
		a.send(addr, message)
	}
}
