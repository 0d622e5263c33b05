package circuitbreaker

import (
	"hash/crc32"
	"math"
	"strconv"
)

const (
	// probeServers is the number of servers of a zone that each send one probe in each probe slot
	// while their breakers are open. A probe slot lasts probeSlotSeconds.
	probeServers     = 3
	probeSlotSeconds = 1.0
)

// slotNumber returns the number of the probe slot that contains now.
func slotNumber(now float64) int64 { return int64(now / probeSlotSeconds) }

// ProbeSlot returns a number other than 0 that identifies the current probe slot if the breaker is
// open, and 0 if it is not. With an open breaker, at most one probe may be sent in each slot.
func (b *Breaker) ProbeSlot(now float64) int64 {
	if b.state == Open {
		return slotNumber(now) + 1
	}
	return 0
}

// roundLimit rounds a limit on calls in flight down to an integer. A limit under 1 is the fraction
// of the servers that may have one call in flight; slotHash selects these servers in each probe
// slot. The servers that send probes may always have one.
func (b *Breaker) roundLimit(now, limit float64, zoneServers func() []string) float64 {
	switch {
	case limit >= 1:
		return math.Floor(limit)
	case float64(slotHash(b.server, now)) < limit*math.MaxUint32:
		return 1
	case b.sendsProbe(now, zoneServers):
		return 1
	}
	return 0
}

// sendsProbe reports whether this server is one of the probeServers of its zone in the current
// slot. If the breaker is open, the server must also have made no call in the slot yet. Servers
// that know the same members of the zone choose the same ones. A server that knows fewer than
// probeServers others is always chosen.
func (b *Breaker) sendsProbe(now float64, zoneServers func() []string) bool {
	if b.state == Open && b.lastCallSlot == slotNumber(now) {
		return false
	}
	own := slotHash(b.server, now)
	ahead := 0
	for _, name := range zoneServers() {
		hash := slotHash(name, now)
		if name != b.server && (hash < own || hash == own && name < b.server) {
			ahead++
		}
	}
	return ahead < probeServers
}

// slotHash returns the hash by which a server is ranked in the probe slot that contains now.
func slotHash(server string, now float64) uint32 {
	return crc32.ChecksumIEEE([]byte(strconv.FormatInt(slotNumber(now), 10) + " " + server))
}
