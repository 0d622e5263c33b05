package connlimit

import (
	"iter"
	"math"
)

const (
	// firstMessageDelay is how soon, in seconds, a balancer's first message follows its connection,
	// unless the event loop is far behind.
	firstMessageDelay = 0.1
	// quietTime is how long, in seconds, a connection must have been silent to be evicted for one
	// whose address would then have as many connections.
	quietTime = 0.5
)

// anySilence is a least silence, in seconds, that every connection meets.
var anySilence = math.Inf(-1)

// EvictionCandidates returns the connections of which one may go when another needs its slot,
// without rules. The first to go are new ones that had time to send something; then those without
// an open request, the one silent for longest first; then newer ones, whose first message may be on
// its way, the newest last. So a peer that only holds connections keeps nobody out. Connections
// with an open request are not among them.
func (l *Limiter) EvictionCandidates(now float64) iter.Seq[int32] {
	return func(yield func(int32) bool) {
		slot := l.firstIn(StateNew)
		for ; l.isSilentNew(slot, now); slot = l.nextInState(slot) {
			if !yield(slot) {
				return
			}
		}
		if !l.yieldByLastHeard(yield) {
			return
		}
		for ; slot >= 0; slot = l.nextInState(slot) {
			if !yield(slot) {
				return
			}
		}
	}
}

// isSilentNew reports whether a new connection had time to send something and did not. It is false
// for no slot.
func (l *Limiter) isSilentNew(slot int32, now float64) bool {
	return slot >= 0 && now-l.connections[slot].stateSince > firstMessageDelay
}

// yieldByLastHeard yields the connections without an open request that sent something, the one
// silent for longest first, by merging the queues of their states. It reports whether to go on.
func (l *Limiter) yieldByLastHeard(yield func(int32) bool) bool {
	heads := [...]int32{l.firstIn(StateAskedToClose), l.firstIn(StatePartialMessage), l.firstIn(StateIdle)}
	for {
		oldest := -1
		for i, slot := range heads {
			if slot >= 0 && (oldest < 0 || l.heardBefore(slot, heads[oldest])) {
				oldest = i
			}
		}
		if oldest < 0 {
			return true
		}
		if !yield(heads[oldest]) {
			return false
		}
		heads[oldest] = l.nextInState(heads[oldest])
	}
}

// heardBefore reports whether a connection was last heard before another.
func (l *Limiter) heardBefore(slot, other int32) bool {
	return l.connections[slot].lastHeard < l.connections[other].lastHeard
}

// EvictionCandidatesFor returns the connections of which one may go for the one at a slot, by
// rules. The first to go are untrusted ones that sent nothing in time; then those of the address
// that holds most, the one silent for longest first. An untrusted address takes no slot of a
// trusted one, and none takes a slot of an address that holds fewer than its own would then: so the
// shares of all addresses that want more become equal, and one address with many connections loses
// its own first. Where both would hold as many, one goes that was silent for quietTime. Last come
// the address's own, which a client that came back after a crash may have left behind.
func (l *Limiter) EvictionCandidatesFor(slot int32, now float64) iter.Seq[int32] {
	return func(yield func(int32) bool) {
		client, _ := l.clientPolicy.entriesOf(&l.connections[slot])
		equalShare := client.admitted + 1
		if !l.yieldSilentUntrusted(now, yield) {
			return
		}
		untrusted := holders{trusted: false, atLeast: 1}
		if !client.trusted {
			untrusted = holders{trusted: false, atLeast: equalShare, quietIfHolding: equalShare}
		}
		if !l.yieldHolders(untrusted, now, yield) {
			return
		}
		trusted := holders{trusted: true, atLeast: equalShare, quietIfHolding: equalShare}
		if client.trusted && !l.yieldHolders(trusted, now, yield) {
			return
		}
		l.yieldEvictable(client, anySilence, now, yield)
	}
}

// yieldSilentUntrusted yields new connections of untrusted addresses that had time to send
// something. It reports whether to go on.
func (l *Limiter) yieldSilentUntrusted(now float64, yield func(int32) bool) bool {
	for slot := l.firstIn(StateNew); l.isSilentNew(slot, now); slot = l.nextInState(slot) {
		client, _ := l.clientPolicy.entriesOf(&l.connections[slot])
		if !client.trusted && !yield(slot) {
			return false
		}
	}
	return true
}

// holders selects addresses by trust and by how many connections they hold. Of those that hold
// quietIfHolding, only connections that are quiet may go; 0 is none.
type holders struct {
	trusted        bool
	atLeast        int32
	quietIfHolding int32
}

// yieldHolders yields the evictable connections of the selected addresses, of those that hold most
// first. It reports whether to go on.
func (l *Limiter) yieldHolders(selected holders, now float64, yield func(int32) bool) bool {
	table := l.clientPolicy.addresses
	for rank := table.highestRank(selected.trusted); rank >= selected.atLeast; rank-- {
		minSilence := anySilence
		if rank == selected.quietIfHolding {
			minSilence = quietTime
		}
		id := table.rankQueue(selected.trusted, rank).first - 1
		for ; id >= 0; id = table.entries[id].queueLinks.next - 1 {
			client := &table.entries[id]
			if !l.yieldEvictable(client, minSilence, now, yield) {
				return false
			}
		}
	}
	return true
}

// yieldEvictable yields the evictable connections of an address that were silent for minSilence
// seconds, the one silent for longest first. It reports whether to go on.
func (l *Limiter) yieldEvictable(client *addressEntry, minSilence, now float64, yield func(int32) bool) bool {
	for slot := client.evictable.first - 1; slot >= 0; slot = l.nextOfAddress(slot) {
		if now-l.connections[slot].lastHeard < minSilence { // the rest was heard later
			return true
		}
		if !yield(slot) {
			return false
		}
	}
	return true
}

// nextOfAddress returns the slot that follows another in the list of their address, -1 after the
// last.
func (l *Limiter) nextOfAddress(slot int32) int32 {
	return l.connections[slot].addressLinks.next - 1
}
