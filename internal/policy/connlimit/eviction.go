package connlimit

import (
	"iter"
	"math"
)

const (
	// firstMessageDelaySeconds is the time within which a balancer's first message arrives on a new
	// connection, unless the event loop is far behind.
	firstMessageDelaySeconds = 0.1
	// quietSeconds is the minimum silence of a connection that is evicted for an address with exactly
	// one connection less. Such an eviction only swaps the connection counts of the two addresses.
	quietSeconds = 0.5
)

// noMinSilence is a minimum silence, in seconds, that every connection meets.
var noMinSilence = math.Inf(-1)

// EvictionCandidates returns, for a limiter without rules, the connections that may be evicted when
// another connection needs a slot, in the order of eviction:
//
//   - new connections that have sent nothing within firstMessageDelaySeconds;
//   - other connections without an open request, the one silent for longest first;
//   - new connections whose first message may still be in transit, the newest last.
//
// So a peer can't keep others out by just holding connections. Connections with an open request are
// never candidates.
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

// isSilentNew reports whether the new connection at a slot has sent nothing within
// firstMessageDelaySeconds. It returns false for slot -1.
func (l *Limiter) isSilentNew(slot int32, now float64) bool {
	return slot >= 0 && now-l.connections[slot].stateSince > firstMessageDelaySeconds
}

// yieldByLastHeard yields the connections without an open request that have sent something, the one
// silent for longest first, by merging the queues of their states. It reports whether the iteration
// should continue.
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

// heardBefore reports whether data last arrived on a connection earlier than on another.
func (l *Limiter) heardBefore(slot, other int32) bool {
	return l.connections[slot].lastHeard < l.connections[other].lastHeard
}

// EvictionCandidatesFor returns, for a limiter with rules, the connections that may be evicted for
// the new connection at a slot, in the order of eviction:
//
//   - new connections of untrusted addresses that have sent nothing within
//     firstMessageDelaySeconds;
//   - connections of the addresses with the most connections, untrusted addresses first, and for each
//     address the connection silent for longest first;
//   - connections of the new connection's own address, which a client that restarted after a crash
//     may have left behind.
//
// An untrusted address never takes a slot of a trusted one. If both addresses are trusted or both are
// not, the other address must have at least as many connections as the new connection's address would
// have with the new one. If it has exactly as many, only its connections silent for quietSeconds are
// candidates. So the shares of all addresses that want more slots become equal, and an address with
// many connections loses its own first.
func (l *Limiter) EvictionCandidatesFor(slot int32, now float64) iter.Seq[int32] {
	return func(yield func(int32) bool) {
		client, _ := l.clientPolicy.entriesOf(&l.connections[slot])
		equalShare := client.admitted + 1
		if !l.yieldSilentUntrusted(now, yield) {
			return
		}
		untrusted := addressFilter{trusted: false, minConnections: 1}
		if !client.trusted {
			untrusted = addressFilter{trusted: false, minConnections: equalShare, quietAtCount: equalShare}
		}
		if !l.yieldFromAddresses(untrusted, now, yield) {
			return
		}
		trusted := addressFilter{trusted: true, minConnections: equalShare, quietAtCount: equalShare}
		if client.trusted && !l.yieldFromAddresses(trusted, now, yield) {
			return
		}
		l.yieldEvictable(client, noMinSilence, now, yield)
	}
}

// yieldSilentUntrusted yields the new connections of untrusted addresses that have sent nothing within
// firstMessageDelaySeconds. It reports whether the iteration should continue.
func (l *Limiter) yieldSilentUntrusted(now float64, yield func(int32) bool) bool {
	for slot := l.firstIn(StateNew); l.isSilentNew(slot, now); slot = l.nextInState(slot) {
		client, _ := l.clientPolicy.entriesOf(&l.connections[slot])
		if !client.trusted && !yield(slot) {
			return false
		}
	}
	return true
}

// addressFilter selects addresses by trust and by their number of admitted connections.
type addressFilter struct {
	trusted        bool
	minConnections int32
	// quietAtCount is the number of connections at which an address loses only connections that were
	// silent for quietSeconds; 0 for no such restriction.
	quietAtCount int32
}

// yieldFromAddresses yields the evictable connections of the selected addresses, those of the
// addresses with the most connections first. It reports whether the iteration should continue.
func (l *Limiter) yieldFromAddresses(selected addressFilter, now float64, yield func(int32) bool) bool {
	table := l.clientPolicy.addresses
	for rank := table.highestRank(selected.trusted); rank >= selected.minConnections; rank-- {
		minSilence := noMinSilence
		if rank == selected.quietAtCount {
			minSilence = quietSeconds
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

// yieldEvictable yields the evictable connections of an address that were silent for at least
// minSilence seconds, the one silent for longest first. It reports whether the iteration should
// continue.
func (l *Limiter) yieldEvictable(client *addressEntry, minSilence, now float64, yield func(int32) bool) bool {
	for slot := client.evictable.first - 1; slot >= 0; slot = l.nextOfAddress(slot) {
		if now-l.connections[slot].lastHeard < minSilence { // the following ones were heard later
			return true
		}
		if !yield(slot) {
			return false
		}
	}
	return true
}

// nextOfAddress returns the slot of the next evictable connection of the same address, -1 after the
// last.
func (l *Limiter) nextOfAddress(slot int32) int32 {
	return l.connections[slot].addressLinks.next - 1
}
