// Package connlimit implements admission control of client connections. It decides which new
// connections to admit, which connections to ask the peer to close, which to close, and which to
// evict when another connection needs the slot.
//
// A limiter without rules only applies timeouts. A connection that sends nothing valid in time is
// closed. The peer of an idle connection is first asked to close it, so that no request is lost.
//
// A limiter with rules also distinguishes client addresses:
//
//   - An address earns trust by completing requests over several seconds, and loses it as its credit
//     for them decays with a half-life. Some slots are reserved for trusted addresses.
//   - Untrusted addresses have limits on connections and on the rate of new connections, per address
//     and per prefix. Trusted addresses have higher limits; the prefixes that the operator configures
//     as trusted have none.
//   - A connection over a limit is held for a short time instead of closed, so that its first request
//     can be rejected with a retry-after time, which doubles with each rejection and has jitter.
//   - When all slots are in use, the address with the most connections loses one first, so an address
//     with many connections displaces its own connections. An untrusted address never displaces a
//     trusted one, and a connection with an open request is never evicted.
//
// Invariants: there are never more admitted connections than slots; untrusted addresses can't occupy
// the reserved slots with open requests; and memory is bounded, because a flood of new addresses
// replaces only untrusted addresses without a connection.
//
// The package has no I/O, clock or goroutine. The event loop that accepts connections owns the
// limiter and is its only caller: it reports events with their time, in seconds on a monotonic clock,
// and carries out the decisions. A connection is identified by its slot, a small number that is
// reused after the connection is closed.
package connlimit
