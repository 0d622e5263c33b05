package server

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

// This file limits the rate at which the acceptor accepts untrusted clients.

const (
	// acceptBurstSeconds is the burst of the rate limit, in seconds' worth of tokens. It has to cover
	// a restart, after which half of all clients may reconnect at the same moment, and none of them
	// is trusted yet.
	acceptBurstSeconds = 1.0
	// cpuSampleIntervalSeconds is how often the process's CPU time is read, by a system call
	// that takes about a microsecond.
	cpuSampleIntervalSeconds = 0.05
)

// trustedClients are the clients that the acceptor exempts from the rate limit.
type trustedClients struct {
	prefixes  []netip.Prefix      // from the operator's settings
	addresses map[netip.Addr]bool // of clients that earned trust by their requests
}

func (t *trustedClients) contains(addr netip.Addr) bool {
	containsAddr := func(prefix netip.Prefix) bool { return prefix.Contains(addr) }
	return t.addresses[addr] || slices.ContainsFunc(t.prefixes, containsAddr)
}

// tokenBucket limits the rate of accepted untrusted clients; each takes a token.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

// refill adds the tokens that are due since the last refill, at a rate per second. With an infinite
// rate the number of tokens stays the same.
func (b *tokenBucket) refill(rate float64) {
	now := time.Now()
	if !math.IsInf(rate, 1) {
		b.tokens = min(max(1, rate*acceptBurstSeconds), b.tokens+now.Sub(b.refilledAt).Seconds()*rate)
	}
	b.refilledAt = now
}

// take takes a token, and reports whether there was one.
func (b *tokenBucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// sampleCPU passes the process's CPU time to the connection limiter, and copies the resulting rate
// limit and trusted clients to the acceptor. It runs on the loop.
func (a *acceptor) sampleCPU(now float64) {
	if now < a.sampledAt+cpuSampleIntervalSeconds {
		return
	}
	a.sampledAt = now
	limiter := a.server.clients.limiter
	var used unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &used); err == nil {
		limiter.ObserveCPUTime(float64(used.Utime.Nano()+used.Stime.Nano())/1e9, now)
	}
	a.untrustedRate.Store(math.Float64bits(limiter.AcceptRate(now)))
	if addresses, changed := limiter.TrustedAddresses(); changed {
		a.trusted.Store(&trustedClients{prefixes: limiter.TrustedPrefixes(), addresses: addresses})
	}
}
