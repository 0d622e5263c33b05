package circuitbreaker

import (
	"hash/crc32"
	"math"
	"strconv"
)

const (
	// probeServers of a zone send one probe each to a service whose breaker is open, in each probe slot of
	// probeSlotSeconds.
	probeServers     = 3
	probeSlotSeconds = 1.0
)

// probeSlot numbers the slots.
func probeSlot(now float64) int64 { return int64(now / probeSlotSeconds) }

// ProbeSlot returns a number for the present slot, not 0, where a call that may be in flight is a probe, of
// which one is to be sent in each slot; 0 where it isn't.
func (b *Breaker) ProbeSlot(now float64) int64 {
	if b.state == Open {
		return probeSlot(now) + 1
	}
	return 0
}

// roundLimit turns a limit on calls in flight, a mean over all servers, into a number of calls. Under one,
// some servers may have one call in each slot, and a few always.
func (b *Breaker) roundLimit(now, limit float64, zoneServers func() []string) float64 {
	switch {
	case limit >= 1:
		return math.Floor(limit)
	case float64(slotHash(b.server, now)) < limit*math.MaxUint32:
		return 1
	case b.probes(now, zoneServers):
		return 1
	}
	return 0
}

// probes reports whether this server is one of those that send probes in the present slot; with an open
// breaker it sends one only. All that know of the same servers draw the same ones; a server that knows of
// none, or of few, is always one.
func (b *Breaker) probes(now float64, zoneServers func() []string) bool {
	if b.state == Open && b.lastCallSlot == probeSlot(now) {
		return false
	}
	own := slotHash(b.server, now)
	before := 0
	for _, name := range zoneServers() {
		hash := slotHash(name, now)
		if name != b.server && (hash < own || hash == own && name < b.server) {
			before++
		}
	}
	return before < probeServers
}

// slotHash is a server's place among the others in the present slot.
func slotHash(server string, now float64) uint32 {
	return crc32.ChecksumIEEE([]byte(strconv.FormatInt(probeSlot(now), 10) + " " + server))
}
