package connlimit

import (
	"hash/maphash"
	"iter"
	"math"
	"net/netip"
)

// The bits of a whole address.
const (
	ipv4Bits = 32
	ipv6Bits = 128
)

// addressKey is an address, or a prefix of one: an IPv4 one is mapped into IPv6, so that a machine has
// one key however its address is written.
type addressKey [16]byte

// newKey returns the key of the leading bits of an address: bitsIPv4 or bitsIPv6 of them, by its family.
func newKey(addr netip.Addr, bitsIPv4, bitsIPv6 int) addressKey {
	addr = addr.Unmap()
	bits := bitsIPv6
	if addr.Is4() {
		bits = ipv6Bits - ipv4Bits + bitsIPv4
	}
	key := addressKey(addr.As16())
	for i := range key {
		switch left := bits - 8*i; {
		case left <= 0:
			key[i] = 0
		case left < 8:
			key[i] &= 0xff << (8 - left)
		}
	}
	return key
}

// address returns the address of a key that has all its bits.
func (k addressKey) address() netip.Addr { return netip.AddrFrom16(k).Unmap() }

// addressEntry is the record of an address or a prefix.
type addressEntry struct {
	key          addressKey
	nextInBucket int32   // the next entry of its hash bucket, counted from 1
	prefix       int32   // of an address: the entry of its prefix; -1 before there is one
	queue        queueID // that it is in
	queueLinks   links

	connectionCounts
	evictable linkedList // of an address: its evictable connections, by lastHeard

	trusted        bool
	trustedByRule  bool          // its prefix is named in the rules
	credit         decayingCount // from requests completed on this server
	reportedCredit decayingCount // credit that other servers reported
	rejections     decayingCount
	arrivals       arrivalTokens
}

// connectionCounts counts the connections of an address or a prefix.
type connectionCounts struct {
	admitted  int32
	held      int32 // in the holding area
	active    int32 // of an address: those admitted that have an open request
	untrusted int32 // of a prefix: those admitted of untrusted addresses
}

// queueID identifies a queue of entries. Entries with an evictable connection are in the queue of their
// rank, which is how many connections they hold: from rankQueues on, two for each rank.
type queueID int32

// The queues of entries without an evictable connection.
const (
	queueFree      queueID = iota // not in use
	queuePinned                   // with connections, none of which is evictable
	queueUntrusted                // remembered without a connection
	queueTrusted                  // remembered without a connection, and trusted
	rankQueues                    // ID of the first queue by rank
)

// The two sets of queues by rank.
const (
	untrustedQueues = iota
	trustedQueues
	queuesPerRank // number of sets, and so of queues for each rank
)

// trustedNumerator / trustedDivisor is the fraction of the remembered entries that may be trusted.
const (
	trustedNumerator = 3
	trustedDivisor   = 4
)

// addressTable is a hash table of a fixed number of entries. A full table drops an entry without a
// connection for a new one: the least recently used untrusted one or, if there is none, trusted
// one. So a flood of new addresses replaces only untrusted entries while there are any, at a small
// constant cost each.
type addressTable struct {
	seed                 maphash.Seed
	buckets              []int32 // the first entry of each, counted from 1
	entries              []addressEntry
	queues               [rankQueues]linkedList
	ranks                [queuesPerRank][]linkedList // of untrusted and trusted entries, by rank
	highest              [queuesPerRank]int32        // the highest rank that may have an entry
	maxRememberedTrusted int                         // how many remembered entries may be trusted
}

// newAddressTable returns a table with room for the addresses of the given number of connections
// and for remembered addresses without one. It allocates all of its memory.
func newAddressTable(connections, remembered int) *addressTable {
	places := connections + remembered
	buckets := 1
	for buckets < places {
		buckets *= 2
	}
	table := &addressTable{
		seed:                 maphash.MakeSeed(),
		buckets:              make([]int32, buckets),
		entries:              make([]addressEntry, places),
		maxRememberedTrusted: remembered * trustedNumerator / trustedDivisor,
	}
	for row := range table.ranks {
		table.ranks[row] = make([]linkedList, connections+1)
	}
	for id := range table.entries {
		table.enqueue(int32(id), queueFree)
	}
	return table
}

// all returns the entries in use.
func (t *addressTable) all() iter.Seq2[int32, *addressEntry] {
	return func(yield func(int32, *addressEntry) bool) {
		for id := range t.entries {
			entry := &t.entries[id]
			if entry.queue != queueFree && !yield(int32(id), entry) {
				return
			}
		}
	}
}

// bucket returns the hash bucket of a key.
func (t *addressTable) bucket(key addressKey) *int32 {
	return &t.buckets[maphash.Bytes(t.seed, key[:])&uint64(len(t.buckets)-1)]
}

// find returns the entry of a key, -1 where there is none.
func (t *addressTable) find(key addressKey) int32 {
	for number := *t.bucket(key); number > 0; number = t.entries[number-1].nextInBucket {
		if t.entries[number-1].key == key {
			return number - 1
		}
	}
	return -1
}

// has reports whether the entry with an id is in use for a key.
func (t *addressTable) has(id int32, key addressKey) bool {
	return id >= 0 && t.entries[id].queue != queueFree && t.entries[id].key == key
}

// findOrAdd returns the entry of a key, and adds one if there is none, if need be in place of
// another. It returns -1 if every entry has a connection, which the size of the table rules out.
func (t *addressTable) findOrAdd(key addressKey) (id int32, added bool) {
	if id = t.find(key); id >= 0 {
		return id, false
	}
	id = t.takeEntry()
	if id < 0 {
		return -1, false
	}
	t.dequeue(id)
	bucket := t.bucket(key)
	t.entries[id] = addressEntry{
		key:          key,
		nextInBucket: *bucket,
		prefix:       -1,
		arrivals:     arrivalTokens{updatedAt: math.Inf(-1)},
	}
	*bucket = id + 1
	t.enqueue(id, queueUntrusted)
	return id, true
}

// takeEntry returns a free entry, and drops one if there is none; -1 if none can be dropped.
func (t *addressTable) takeEntry() int32 {
	if free := t.queues[queueFree].first; free > 0 {
		return free - 1
	}
	for _, queue := range [...]queueID{queueUntrusted, queueTrusted} {
		if oldest := t.queues[queue].first; oldest > 0 {
			t.drop(oldest - 1)
			return oldest - 1
		}
	}
	return -1
}

// hasRoomForUntrusted reports whether an entry can be added without dropping a trusted one.
func (t *addressTable) hasRoomForUntrusted() bool {
	return t.queues[queueFree].count+t.queues[queueUntrusted].count > 0
}

// drop removes an entry from its bucket and makes it free.
func (t *addressTable) drop(id int32) {
	link := t.bucket(t.entries[id].key)
	for *link != id+1 {
		link = &t.entries[*link-1].nextInBucket
	}
	*link = t.entries[id].nextInBucket
	t.dequeue(id)
	t.enqueue(id, queueFree)
}

// requeue moves an entry to the end of the queue to which it belongs now.
func (t *addressTable) requeue(id int32) {
	entry := &t.entries[id]
	t.dequeue(id)
	switch {
	case entry.evictable.first > 0:
		row := rankQueueSet(entry.trusted)
		t.enqueue(id, rankQueues+queuesPerRank*queueID(entry.admitted)+queueID(row))
		t.highest[row] = max(t.highest[row], entry.admitted)
	case entry.admitted > 0 || entry.held > 0:
		t.enqueue(id, queuePinned)
	case entry.trusted:
		t.enqueue(id, queueTrusted)
		t.limitTrusted()
	default:
		t.enqueue(id, queueUntrusted)
	}
}

// limitTrusted makes the least recently used remembered trusted entry untrusted if there are too many.
func (t *addressTable) limitTrusted() {
	queue := &t.queues[queueTrusted]
	if int(queue.count) <= t.maxRememberedTrusted {
		return
	}
	oldest := queue.first - 1
	t.entries[oldest].trusted = false
	t.dequeue(oldest)
	t.enqueue(oldest, queueUntrusted)
}

// highestRank returns the highest rank of an entry, trusted or not, with an evictable connection; 0
// if there is none.
func (t *addressTable) highestRank(trusted bool) int32 {
	row := rankQueueSet(trusted)
	for t.highest[row] > 0 && t.ranks[row][t.highest[row]].first == 0 {
		t.highest[row]--
	}
	return t.highest[row]
}

// rankQueue returns the queue of the trusted or untrusted entries of a rank.
func (t *addressTable) rankQueue(trusted bool, rank int32) *linkedList {
	return &t.ranks[rankQueueSet(trusted)][rank]
}

// rankQueueSet returns which set of queues by rank trusted or untrusted entries are in.
func rankQueueSet(trusted bool) int {
	if trusted {
		return trustedQueues
	}
	return untrustedQueues
}

// queue returns the queue with an id.
func (t *addressTable) queue(id queueID) *linkedList {
	if id < rankQueues {
		return &t.queues[id]
	}
	rank := (id - rankQueues) / queuesPerRank
	return &t.ranks[(id-rankQueues)%queuesPerRank][rank]
}

// enqueue puts an entry at the end of a queue.
func (t *addressTable) enqueue(id int32, queueID queueID) {
	entry := &t.entries[id]
	entry.queue = queueID
	queue := t.queue(queueID)
	queue.pushBack(id+1, &entry.queueLinks, t.queueLinks(queue.last))
}

// dequeue takes an entry out of its queue.
func (t *addressTable) dequeue(id int32) {
	entry := &t.entries[id]
	node := entry.queueLinks
	t.queue(entry.queue).remove(node, t.queueLinks(node.prev), t.queueLinks(node.next))
}

// queueLinks returns the links of an entry, counted from 1, in its queue; nil for 0.
func (t *addressTable) queueLinks(number int32) *links {
	if number == 0 {
		return nil
	}
	return &t.entries[number-1].queueLinks
}
