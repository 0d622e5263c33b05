package replica

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"

	"swiftcourse/internal/judge/door"
)

// MaxEarned is how many callers one server tells of: those that earned most there. A server hardly has more that come back within a restart.
const MaxEarned = 256

// maxTellers bounds whose words are held.
const maxTellers = 128

// Voucher is a server's word on the callers that earned being known at its door.
type Voucher struct {
	Name   string
	Life   uint64
	Number uint64 // grows with each word of a name: milliseconds of its time of day
	Earned []door.Earned
}

// newer tells which word of one name counts, whatever order they come in.
func (v *Voucher) newer(than *Voucher) bool {
	return cmp.Or(cmp.Compare(v.Number, than.Number), cmp.Compare(v.Life, than.Life)) > 0
}

// Vouchers are the words of servers of a fleet, the newest of each.
type Vouchers struct {
	forget float64
	by     map[string]*Voucher
	heard  map[string]float64
}

// NewVouchers makes an empty table, in which a word is kept for so many seconds.
func NewVouchers(forget float64) *Vouchers {
	return &Vouchers{forget: forget, by: map[string]*Voucher{}, heard: map[string]float64{}}
}

// Hear takes a word in, and tells whether it is news. One that is older than what is there, or comes twice, changes nothing.
func (v *Vouchers) Hear(now float64, w Voucher) bool {
	if was := v.by[w.Name]; was != nil && !w.newer(was) {
		return false
	}
	if v.by[w.Name] == nil && len(v.by) >= maxTellers {
		oldest := slices.MinFunc(slices.Sorted(maps.Keys(v.heard)), func(a, b string) int { return cmp.Compare(v.heard[a], v.heard[b]) })
		v.drop(oldest)
	}
	w.Earned = w.Earned[:min(len(w.Earned), MaxEarned)]
	v.by[w.Name], v.heard[w.Name] = &w, now
	return true
}

func (v *Vouchers) drop(name string) {
	delete(v.by, name)
	delete(v.heard, name)
}

// Some lists words to tell one who is new: what is held of its own name first, then others by name, at most so many.
func (v *Vouchers) Some(now float64, name string, most int) (list []Voucher) {
	v.age(now)
	if own := v.by[name]; own != nil {
		list = append(list, *own)
	}
	for _, other := range slices.Sorted(maps.Keys(v.by)) {
		if other != name && len(list) < most {
			list = append(list, *v.by[other])
		}
	}
	return list
}

func (v *Vouchers) age(now float64) {
	for name, at := range v.heard {
		if now > at+v.forget {
			v.drop(name)
		}
	}
}

// Merged is what all words come to, at most so many callers. Those of whom two servers or more say so come first, with the second highest of what they
// said; of the rest each server has an even part of the places, so that one with a long list of its own making displaces nobody else's.
func (v *Vouchers) Merged(now float64, most int) (list []door.Earned) {
	v.age(now)
	told := map[netip.Addr][]float64{}
	names := slices.Sorted(maps.Keys(v.by))
	for _, name := range names {
		for _, e := range v.by[name].Earned {
			told[e.Addr] = append(told[e.Addr], e.Credit)
		}
	}
	for addr, credits := range told {
		if len(credits) > 1 {
			slices.Sort(credits)
			list = append(list, door.Earned{Addr: addr, Credit: credits[len(credits)-2]})
		}
	}
	slices.SortFunc(list, func(a, b door.Earned) int { return cmp.Or(cmp.Compare(b.Credit, a.Credit), a.Addr.Compare(b.Addr)) })
	list = list[:min(len(list), most)]
	left := most - len(list)
	for i, name := range names {
		part := left / (len(names) - i)
		for _, e := range v.by[name].Earned {
			if part > 0 && len(told[e.Addr]) == 1 {
				list = append(list, e)
				part--
				left--
			}
		}
	}
	return list
}
