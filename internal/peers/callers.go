package peers

import (
	"math"

	"swiftcourse/internal/judge/door"
	"swiftcourse/internal/judge/replica"
	wire "swiftcourse/internal/wire/fleet"
)

// This file is what a process tells others of the callers known at its door, and is told of them when it is new.

// Callers is what a process does with them.
type Callers struct {
	Forget float64 // seconds for which others' words are kept
	Most   int     // callers that a door takes over
	// Hear hands the serving loop callers that earned being known elsewhere.
	Hear func([]door.Earned)
}

// callers is the part's state of them.
type callers struct {
	*Callers
	vouchers *replica.TrustTable
	own      replica.TrustRecord
	began    float64
	askAt    float64
	tellAt   float64
	heard    bool
}

const (
	// newFor is how long after its start a server takes others' words for its door: then its callers have had time to earn it, and whoever lies to it
	// later bends nothing.
	newFor = 30.0
	// askCallersEvery and askCallersFor: some others are asked at once, and again until one has answered.
	askCallersEvery, askCallersFor = 0.2, 5.0
	// tellEvery is how often others are told, and briefTo of them: with three, a caller known to one server is known to a fourth of what is left after two die.
	tellEvery = 4.0
	// maxVouchers go in one answer: 16 lists of 256 callers are 100 KB.
	maxVouchers = 16
	// maxEarnings wait for the goroutine; a newer list comes soon.
	maxEarnings = 2
)

// Earned takes the callers known at this server's door, from the serving loop.
func (f *Peers) Earned(list []door.Earned) {
	select {
	case f.earnings <- list:
	default:
	}
}

func (f *Part) beginCallers(now float64) {
	if f.Callers == nil {
		return
	}
	f.callers = &callers{Callers: f.Plan.Callers, vouchers: replica.NewTrustTable(f.Plan.Callers.Forget), began: now, askAt: math.Inf(-1), tellAt: now}
}

func (f *Part) earned(list []door.Earned) {
	if c := f.callers; c != nil {
		c.own = replica.TrustRecord{Name: f.Name, Incarnation: f.life, Sequence: uint64(max(0, f.Unix()*1000)), Clients: list}
	}
}

func (f *Part) dueCallers(now float64) {
	c := f.callers
	if c == nil {
		return
	}
	if !c.heard && now < c.began+askCallersFor && now >= c.askAt+askCallersEvery {
		c.askAt = now
		for _, addr := range f.net.Some(briefTo, f.chance) {
			f.send(addr, &wire.Message{AskCallers: true})
		}
	}
	if now >= c.tellAt+tellEvery {
		c.tellAt = now
		if len(c.own.Clients) > 0 {
			for _, addr := range f.net.Some(briefTo, f.chance) {
				f.send(addr, &wire.Message{Vouchers: []replica.TrustRecord{c.own}})
			}
		}
	}
}

func (f *Part) nextCallers(now float64) float64 {
	c := f.callers
	if c == nil {
		return math.Inf(1)
	}
	if !c.heard && now < c.began+askCallersFor {
		return c.askAt + askCallersEvery
	}
	return c.tellAt + tellEvery
}

// takeCallers answers one who is new, or takes others' words in.
func (f *Part) takeCallers(now float64, m *wire.Message) {
	c := f.callers
	if c == nil {
		return
	}
	if m.AskCallers {
		list := c.vouchers.RecordsFor(now, m.From, maxVouchers-1)
		if len(c.own.Clients) > 0 {
			list = append(list, c.own)
		}
		if len(list) > 0 {
			f.reply(m, &wire.Message{Vouchers: list})
		}
		return
	}
	news := false
	for _, v := range m.Vouchers {
		news = c.vouchers.Observe(now, v) || news
	}
	if news && now < c.began+newFor {
		c.heard = true
		c.Hear(c.vouchers.MergedClients(now, c.Most))
	}
}
