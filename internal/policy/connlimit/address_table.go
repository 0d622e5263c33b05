package connlimit

import (
	"hash/maphash"
	"iter"
	"math"
	"net/netip"
)

// The length of a full address, in bits.
const (
	ipv4Bits = 32
	ipv6Bits = 128
)

// addressKey is an address or an address prefix, with all bits after the prefix cleared. IPv4
// addresses are stored as IPv4-mapped IPv6 addresses, so both notations of an address have one key.
type addressKey [16]byte

// newAddressKey returns the key of the prefix of addr that has bitsIPv4 bits if addr is an IPv4 address,
// and bitsIPv6 bits otherwise.
func newAddressKey(addr netip.Addr, bitsIPv4, bitsIPv6 int) addressKey {
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

// address returns the address of a key that was made from a full address.
func (k addressKey) address() netip.Addr { return netip.AddrFrom16(k).Unmap() }

// addressEntry is the table entry of an address or a prefix. Its links to other entries and to
// connections are numbers: the index (of a connection, the slot) plus 1, so that 0 means none.
type addressEntry struct {
	key          addressKey
	nextInBucket int32   // number of the next entry in the same hash bucket, 0 for none
	prefixIndex  int32   // address entries only: index of the entry of its prefix, -1 if not set yet
	queue        queueID // the queue that holds this entry
	queueLinks   links

	connectionCounts
	evictable linkedList // address entries only: evictable connections, ordered by lastHeard

	trusted        bool
	trustedByRule  bool          // the address is in one of Rules.TrustedPrefixes
	credit         decayingCount // credit for requests completed on this server
	reportedCredit decayingCount // credit that other servers reported
	rejections     decayingCount
	arrivals       arrivalTokens
}

// connectionCounts counts the connections of an address or a prefix.
type connectionCounts struct {
	admitted  int32 // admitted connections
	held      int32 // connections in the holding area
	active    int32 // address entries only: admitted connections with an open request
	untrusted int32 // prefix entries only: admitted connections of untrusted addresses
}

// queueID identifies a queue of entries. An entry with an evictable connection is in a queue of its
// rank, which is its number of admitted connections. Each rank has two queues, one for untrusted and
// one for trusted entries; their IDs start at firstRankQueue.
type queueID int32

// The queues of entries without an evictable connection.
const (
	queueFree          queueID = iota // entries that are not in use
	queueNoneEvictable                // entries with connections, none of which is evictable
	queueUntrusted                    // untrusted entries without a connection
	queueTrusted                      // trusted entries without a connection
	firstRankQueue                    // ID of the first rank queue
)

// The sets of rank queues.
const (
	untrustedQueues = iota
	trustedQueues
	queuesPerRank // number of sets, which is also the number of queues for each rank
)

// trustedNumerator / trustedDivisor is the largest fraction of the remembered entries (those without
// a connection) that may be trusted.
const (
	trustedNumerator = 3
	trustedDivisor   = 4
)

// addressTable is a hash table with a fixed number of entries. To add an entry to a full table, it
// drops an entry without a connection: the least recently used untrusted one or, if there is none,
// the least recently used trusted one. So a flood of new addresses replaces only untrusted entries
// as long as there are any, and each replacement takes constant time.
type addressTable struct {
	seed                 maphash.Seed
	buckets              []int32 // number of the first entry of each bucket, 0 for none
	entries              []addressEntry
	queues               [firstRankQueue]linkedList
	queuesByRank         [queuesPerRank][]linkedList // rank queues, by set and rank
	maxRank              [queuesPerRank]int32        // no entry has a higher rank, by set
	maxRememberedTrusted int                         // limit on trusted entries without a connection
}

// newAddressTable returns a table for the addresses of the given number of connections plus the
// given number of remembered addresses, which have no connection. It allocates all memory up front.
func newAddressTable(connections, remembered int) *addressTable {
	capacity := connections + remembered
	buckets := 1
	for buckets < capacity {
		buckets *= 2
	}
	table := &addressTable{
		seed:                 maphash.MakeSeed(),
		buckets:              make([]int32, buckets),
		entries:              make([]addressEntry, capacity),
		maxRememberedTrusted: remembered * trustedNumerator / trustedDivisor,
	}
	for set := range table.queuesByRank {
		table.queuesByRank[set] = make([]linkedList, connections+1)
	}
	for id := range table.entries {
		table.enqueue(int32(id), queueFree)
	}
	return table
}

// all iterates over the entries in use, with their index.
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

// find returns the index of the entry of a key, -1 if there is none.
func (t *addressTable) find(key addressKey) int32 {
	for number := *t.bucket(key); number > 0; number = t.entries[number-1].nextInBucket {
		if t.entries[number-1].key == key {
			return number - 1
		}
	}
	return -1
}

// hasKey reports whether id is the index of an entry that is in use and has the key.
func (t *addressTable) hasKey(id int32, key addressKey) bool {
	return id >= 0 && t.entries[id].queue != queueFree && t.entries[id].key == key
}

// findOrAdd returns the index of the entry of a key. If there is none, it adds one, replacing an
// entry without a connection if the table is full. It returns -1 if every entry has a connection;
// the table is sized so that this does not happen.
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
		prefixIndex:  -1,
		arrivals:     arrivalTokens{updatedAt: math.Inf(-1)},
	}
	*bucket = id + 1
	t.enqueue(id, queueUntrusted)
	return id, true
}

// takeEntry returns the index of a free entry. If there is none it drops an entry without a
// connection, and returns -1 if every entry has one.
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

// hasRoomForUntrusted reports whether an entry can be added without dropping a trusted entry.
func (t *addressTable) hasRoomForUntrusted() bool {
	return t.queues[queueFree].count+t.queues[queueUntrusted].count > 0
}

// drop removes an entry from its hash bucket and marks it as free.
func (t *addressTable) drop(id int32) {
	link := t.bucket(t.entries[id].key)
	for *link != id+1 {
		link = &t.entries[*link-1].nextInBucket
	}
	*link = t.entries[id].nextInBucket
	t.dequeue(id)
	t.enqueue(id, queueFree)
}

// requeue moves an entry to the end of the queue for its current connections and trust.
func (t *addressTable) requeue(id int32) {
	entry := &t.entries[id]
	t.dequeue(id)
	switch {
	case entry.evictable.first > 0:
		set := rankQueueSet(entry.trusted)
		t.enqueue(id, firstRankQueue+queuesPerRank*queueID(entry.admitted)+queueID(set))
		t.maxRank[set] = max(t.maxRank[set], entry.admitted)
	case entry.admitted > 0 || entry.held > 0:
		t.enqueue(id, queueNoneEvictable)
	case entry.trusted:
		t.enqueue(id, queueTrusted)
		t.limitTrusted()
	default:
		t.enqueue(id, queueUntrusted)
	}
}

// limitTrusted makes the least recently used trusted entry without a connection untrusted if there
// are more than maxRememberedTrusted of them.
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

// highestRank returns the highest rank among the trusted or untrusted entries that have an evictable
// connection, 0 if there is none.
func (t *addressTable) highestRank(trusted bool) int32 {
	set := rankQueueSet(trusted)
	for t.maxRank[set] > 0 && t.queuesByRank[set][t.maxRank[set]].first == 0 {
		t.maxRank[set]--
	}
	return t.maxRank[set]
}

// rankQueue returns the queue of the trusted or untrusted entries with a rank.
func (t *addressTable) rankQueue(trusted bool, rank int32) *linkedList {
	return &t.queuesByRank[rankQueueSet(trusted)][rank]
}

// rankQueueSet returns the index of the set of rank queues for trusted or untrusted entries.
func rankQueueSet(trusted bool) int {
	if trusted {
		return trustedQueues
	}
	return untrustedQueues
}

// queue returns the queue with an ID.
func (t *addressTable) queue(id queueID) *linkedList {
	if id < firstRankQueue {
		return &t.queues[id]
	}
	rank := (id - firstRankQueue) / queuesPerRank
	return &t.queuesByRank[(id-firstRankQueue)%queuesPerRank][rank]
}

// enqueue appends an entry to a queue.
func (t *addressTable) enqueue(id int32, queueID queueID) {
	entry := &t.entries[id]
	entry.queue = queueID
	queue := t.queue(queueID)
	queue.pushBack(id+1, &entry.queueLinks, t.queueLinks(queue.last))
}

// dequeue removes an entry from its queue.
func (t *addressTable) dequeue(id int32) {
	entry := &t.entries[id]
	node := entry.queueLinks
	t.queue(entry.queue).remove(node, t.queueLinks(node.prev), t.queueLinks(node.next))
}

// queueLinks returns the queue links of the entry with a number, nil for number 0.
func (t *addressTable) queueLinks(number int32) *links {
	if number == 0 {
		return nil
	}
	return &t.entries[number-1].queueLinks
}
