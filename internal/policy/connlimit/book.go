package connlimit

import (
	"hash/maphash"
	"math"
	"net/netip"
)

// key is an address, or a prefix of one: an IPv4 one as it is mapped into IPv6, so that one machine has one key
// whichever way it comes.
type key [16]byte

// keyOf keeps bits of an address, counted as its family does.
func keyOf(addr netip.Addr, v4, v6 int) key {
	addr = addr.Unmap()
	n := v6
	if addr.Is4() {
		n = 96 + v4
	}
	k := key(addr.As16())
	for i := range k {
		switch left := n - 8*i; {
		case left <= 0:
			k[i] = 0
		case left < 8:
			k[i] &= 0xff << (8 - left)
		}
	}
	return k
}

// entry is what is remembered of an address or a prefix.
type entry struct {
	key      key
	conns    int32 // that were let in
	waits    int32 // in the lobby
	idle     int32 // of conns, those that may go for another
	busy     int32 // of conns, those with a task open
	strange  int32 // of a prefix: the connections of addresses that are not known
	first    int32 // its connections of which none has a task open, the one silent for longest first; counted from 1
	last     int32
	chain    int32 // next entry of the same bucket, counted from 1
	prev     int32 // in the queue that it is in, counted from 1
	next     int32
	queue    int32 // of a rank, or of those remembered
	prefix   int32 // the entry of its prefix
	known    bool
	named    bool
	credit   float64 // tasks finished, halved every so often
	earnedAt float64 // when the credit was as it stands
	heard    float64 // credit that other doors gave, halved like its own
	heardAt  float64
	left     float64 // arrivals that it may still make
	leftAt   float64 // when that was so
	turned   float64 // times it was turned away lately, halved each second
	turnedAt float64
}

// queues of entries: those without a connection, by how they are remembered; and from ranks on, those that have a connection that
// may go, by how many they hold.
const (
	free      int32 = iota // not in use
	pinned                 // holds connections, all of them with tasks open, or in the lobby
	passing                // remembered, not known
	remembers              // remembered, known
	ranks
)

// book holds entries by key, in a fixed number of places. What has a connection is never dropped for another; of the rest,
// those that are not known go first, the one not seen for longest before the others. So a flood from ever new addresses
// turns over the places of passing ones, at one cost each, and no more.
type book struct {
	seed    maphash.Seed
	buckets []int32 // first entry of each, counted from 1
	entries []entry
	queues  [ranks]ends
	ranks   [2][]ends // not known, known: by how many connections they hold
	most    [2]int32  // the highest rank that may not be empty
	knowns  int       // the most that are remembered while known
}

type ends struct{ first, last, n int32 }

// newBook makes a book that holds the connections of most addresses at a time and remembers so many others. It takes all its memory now.
func newBook(most, remember int) *book {
	n := most + remember
	size := 1
	for size < n {
		size *= 2
	}
	b := &book{seed: maphash.MakeSeed(), buckets: make([]int32, size), entries: make([]entry, n), knowns: remember * 3 / 4}
	for i := range b.ranks {
		b.ranks[i] = make([]ends, most+1)
	}
	for i := range b.entries {
		b.enqueue(int32(i), free)
	}
	return b
}

func (b *book) bucket(k key) *int32 {
	return &b.buckets[maphash.Bytes(b.seed, k[:])&uint64(len(b.buckets)-1)]
}

// find gives the entry of a key, -1 where there is none.
func (b *book) find(k key) int32 {
	for i := *b.bucket(k); i > 0; i = b.entries[i-1].chain {
		if b.entries[i-1].key == k {
			return i - 1
		}
	}
	return -1
}

// get gives the entry of a key and makes one where there is none: fresh tells that. Its place may be another's that was
// remembered. It is -1 where each place has a connection, which the sizes rule out.
func (b *book) get(k key) (i int32, fresh bool) {
	if i = b.find(k); i >= 0 {
		return i, false
	}
	if i = b.queues[free].first - 1; i < 0 {
		if i = b.queues[passing].first - 1; i < 0 {
			i = b.queues[remembers].first - 1
		}
		if i < 0 {
			return -1, false
		}
		b.drop(i)
	}
	b.dequeue(i)
	at := b.bucket(k)
	b.entries[i] = entry{key: k, chain: *at, leftAt: math.Inf(-1), prefix: -1}
	*at = i + 1
	b.enqueue(i, passing)
	return i, true
}

// drop forgets an entry.
func (b *book) drop(i int32) {
	at := b.bucket(b.entries[i].key)
	for *at != i+1 {
		at = &b.entries[*at-1].chain
	}
	*at = b.entries[i].chain
	b.dequeue(i)
	b.enqueue(i, free)
}

// settle puts an entry in the queue where it belongs now, at its end.
func (b *book) settle(i int32) {
	e := &b.entries[i]
	b.dequeue(i)
	switch {
	case e.first > 0:
		side := 0
		if e.known {
			side = 1
		}
		b.enqueue(i, ranks+2*e.conns+int32(side))
		b.most[side] = max(b.most[side], e.conns)
	case e.conns > 0 || e.waits > 0:
		b.enqueue(i, pinned)
	case e.known:
		b.enqueue(i, remembers)
		if q := &b.queues[remembers]; int(q.n) > b.knowns { // the one not seen for longest is the first to go from now on
			oldest := q.first - 1
			b.entries[oldest].known = false
			b.dequeue(oldest)
			b.enqueue(oldest, passing)
		}
	default:
		b.enqueue(i, passing)
	}
}

// highest is the rank of those who hold the most connections of which one may go; 0 where there is none.
func (b *book) highest(known bool) int32 {
	side := 0
	if known {
		side = 1
	}
	for b.most[side] > 0 && b.ranks[side][b.most[side]].first == 0 {
		b.most[side]--
	}
	return b.most[side]
}

// rank is the queue of those who hold so many connections.
func (b *book) rank(known bool, conns int32) *ends {
	if known {
		return &b.ranks[1][conns]
	}
	return &b.ranks[0][conns]
}

func (b *book) queue(q int32) *ends {
	if q < ranks {
		return &b.queues[q]
	}
	return &b.ranks[(q-ranks)%2][(q-ranks)/2]
}

func (b *book) enqueue(i, q int32) {
	e, to := &b.entries[i], b.queue(q)
	e.queue, e.prev, e.next = q, to.last, 0
	if to.n++; to.last > 0 {
		b.entries[to.last-1].next = i + 1
	} else {
		to.first = i + 1
	}
	to.last = i + 1
}

func (b *book) dequeue(i int32) {
	e := &b.entries[i]
	from := b.queue(e.queue)
	from.n--
	if e.prev > 0 {
		b.entries[e.prev-1].next = e.next
	} else {
		from.first = e.next
	}
	if e.next > 0 {
		b.entries[e.next-1].prev = e.prev
	} else {
		from.last = e.prev
	}
}

// halved is a number that halves every half seconds, later by so many.
func halved(x, half, later float64) float64 {
	if x == 0 || later <= 0 {
		return x
	}
	return x * math.Exp2(-later/half)
}
