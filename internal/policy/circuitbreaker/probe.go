package circuitbreaker

import (
	"hash/crc32"
	"math"
	"strconv"
)

const (
	// probeServers is how many servers of a zone send one probe each, while breakers are open, in each slot
	// of probeSlotSeconds.
	probeServers     = 3
	probeSlotSeconds = 1.0
)

// slotNumber returns the number of the probe slot at a time.
func slotNumber(now float64) int64 { return int64(now / probeSlotSeconds) }

// ProbeSlot returns a number that identifies the current probe slot, never 0, if the breaker is open, so that
// only one probe is to be sent in the slot; 0 if it is not open.
func (b *Breaker) ProbeSlot(now float64) int64 {
	if b.state == Open {
		return slotNumber(now) + 1
	}
	return 0
}

// roundLimit turns a mean limit on calls in flight for each server into a whole number for this one. With a
// limit under 1, that part of the servers may have one call in flight in the slot, and those that probe may
// always.
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

// sendsProbe reports whether this server is one of the probeServers of its zone in the current slot and, with
// an open breaker, has made no call in the slot yet. Servers that know the same zone members choose the same
// ones; a server that knows too few others always probes.
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

// slotHash returns the hash by which servers are ranked in the current slot.
func slotHash(server string, now float64) uint32 {
	return crc32.ChecksumIEEE([]byte(strconv.FormatInt(slotNumber(now), 10) + " " + server))
}
