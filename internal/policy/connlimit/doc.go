// Package connlimit is the admission control of client connections. It decides which new
// connections are admitted, which are asked to close, which are closed, and which one is evicted
// when another needs its slot.
//
// A limiter made without rules only times connections out: one that sends nothing valid in time is
// closed, and one that is idle is asked to close first, so that no request is lost. A limiter made
// with rules also tells client addresses apart:
//
//   - An address earns trust by requests that complete over some seconds, and loses it by a
//     half-life. Some slots are reserved for trusted addresses.
//   - Untrusted addresses have limits on connections and on arrivals, each and by prefix; trusted
//     ones have higher limits, and the prefixes that the operator names have none.
//   - A connection over a limit is held for a moment instead of closed, so that its first request is
//     rejected with a time to retry after, which doubles with each rejection and has jitter.
//   - When all slots are in use, the address that holds most connections loses one first, so one
//     address with many connections displaces its own. An untrusted address never displaces a
//     trusted one, and a connection with an open request is never evicted.
//
// The invariants are that no more connections are admitted than there are slots, that untrusted
// addresses can't keep the reserved slots by open requests, and that memory is bounded: a flood of
// new addresses replaces only untrusted addresses that have no connection.
//
// The package has no I/O, clock or goroutine. The event loop that accepts connections owns the
// limiter and is its only caller: it reports what happens with the time, in seconds on a clock that
// never goes back, and carries out the decisions. A connection is named by its slot, a small number
// that is used again once the connection is gone.
package connlimit
