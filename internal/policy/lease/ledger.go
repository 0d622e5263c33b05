package lease

import (
	"math"
	"slices"

	"swiftcourse/internal/policy/release"
)

// Config are what the operator set for all.
type Config struct {
	Duration       float64 // seconds
	CatchUpTimeout float64 // seconds in which one that is not on its version has to get there before it is shut out
	MaxUnavailable float64 // part of the fleet that may be off the roster for want of talk, or as it is late
	ForgetAfter    float64 // seconds after which a name that says nothing is nobody's
}

// drift is how much slower than the leader's a server's clock may run, as a part: far over any crystal's, and over the 1% that is played.
const drift = 0.02

// liftOver spreads the numbers to which an order is lifted over a quarter of an hour of foundings, so that two lost groups hardly ever meet.
const liftOver = 900

// LeaderConfirmationWindow is how long ago, in seconds, a majority may have confirmed a leader whose word still counts: four times the pause between two
// confirmations.
const LeaderConfirmationWindow = 1.0

// record is what a leader knows of a server; it dies with the leader's term.
type record struct {
	life    uint64
	addr    string
	heard   float64
	until   float64 // when the last lease that was given is surely over
	epoch   release.Epoch
	behind  float64 // since when it is not on its version, -1 where it is
	stuck   string
	tolls   release.ErrorTally
	build   string
	refused string
	// leaving: a command that takes its name or its standing from this life was asked for, so the life has no lease until it is known
	// how that ended. A leader's commands are carried out in the order in which it asked for them: once a fence is, a command that changes
	// nothing, so are all before it. A leader that follows knows of all before a majority confirms it.
	leaving bool
	fence   uint64
	leaver  bool   // may go off the roster when it hears nothing, or may have heard so
	allowed uint64 // number of the latest question whose answer said so
}

// Grantor is the leader's side. It belongs to one term: a new leader makes a new one, which takes every lease for given that a leader
// before could have.
type Grantor struct {
	terms     Config
	homes     map[string]string // names that only a server which listens at this address can have: the voters'
	from      float64
	records   map[string]*record
	leavers   int // records with leaver, and names of which nothing was heard, when the order's count was counted
	counted   uint64
	countedAt float64
	waveAt    float64 // when the present wave began
	wave      int
	waveOf    release.Epoch
	asked     map[string]float64 // when a command about a name was last asked for
	acted     float64
	fences    uint64
	proofs    map[string]proof // by name: what who asks for it as its holder's successor was told
}

// proof is a number that a life was told, and shows that it is there by saying it.
type proof struct{ life, number uint64 }

// HandleCommandResult tells how a command ended that this leader or anybody asked for.
func (l *Grantor) HandleCommandResult(c *release.Command) {
	if r := l.records[c.Name]; r != nil && c.Kind == release.KindRegister && c.Author == author && c.ID != 0 && c.ID == r.fence && c.Incarnation == r.life {
		r.leaving, r.fence = false, 0
	}
}

// author of what a leader asks for on its own account.
const author = "leader"

// NewGrantor makes the ledger of a leader whose term begins. Its commands have to go straight into its own log: what another leader would carry
// out may not be passed on. homes are the voters' names and where they listen; a process that is told to listen elsewhere doesn't start under one.
func NewGrantor(terms Config, homes map[string]string, now float64) *Grantor {
	return &Grantor{terms: terms, homes: homes, from: now, records: map[string]*record{}, asked: map[string]float64{}, proofs: map[string]proof{}, acted: math.Inf(-1), fences: uint64(now * 1e6)}
}

// whole is a lease as the giver has to count it.
func (l *Grantor) whole() float64 { return l.terms.Duration * (1 + drift) }

// before is when every lease is over that a leader before gave: the last that it may have given is from ConfirmedFor after this one came.
func (l *Grantor) before() float64 { return l.from + LeaderConfirmationWindow + l.whole() }

func (l *Grantor) old(now float64) bool { return now > l.before() }

// maxRecords bounds the table: four times the largest fleet that is played.
const maxRecords = 4096

// askAgain is how often a command about one name is asked for, as it may be lost: a few times what a majority takes.
const askAgain = 0.5

// HandleRequest answers a question. commands are to be asked for of the voters. confirmed tells that a majority confirmed the leader within
// ConfirmedFor.
func (l *Grantor) HandleRequest(now float64, q *Request, o *release.Log, confirmed bool) (a Reply, commands []release.Command) {
	a = Reply{Incarnation: q.Incarnation, Number: q.Number, AssignedEpoch: o.VersionFor(q.Name).Epoch}
	if !confirmed || q.Name == "" || q.Incarnation == 0 {
		return a, nil
	}
	r := l.records[q.Name]
	if q.ActiveEpoch > o.NewestEpoch() {
		a.Reason = "it acts on what a lost group of voters released"
		beyond := uint64(q.ActiveEpoch.ClusterID()) + 1 + q.Incarnation%liftOver
		return a, l.command(now, " lift", release.Command{Kind: release.KindBumpEpoch, ExpectedEpoch: o.NewestEpoch(), Previous: beyond})
	}
	holder, held := o.Members[q.Name]
	if !held || holder != q.Incarnation {
		if held && !l.over(now, q.Name, holder) {
			if !l.succeeds(q, r, holder) {
				a.Verdict, a.Reason = VerdictNameTaken, "the name belongs to another life, which may still act"
				return a, nil
			}
			if a.Nonce = l.prove(q); a.Nonce != 0 {
				return a, nil
			}
		}
		commands = l.command(now, q.Name, release.Command{Kind: release.KindRegister, Name: q.Name, Incarnation: q.Incarnation, Previous: holder})
		if held && commands != nil { // else its fence would never be carried out while others ask for the name
			l.leave(now, q.Name, holder)
		}
		return a, commands
	}
	delete(l.proofs, q.Name) // it has what it proved for; who comes after it is told another number
	if r == nil || r.life != q.Incarnation {
		if len(l.records) >= maxRecords && r == nil {
			a.Reason = "there are too many servers"
			return a, nil
		}
		r = &record{life: q.Incarnation, behind: -1, until: now}
		if l.counted == o.AppliedCount {
			l.leavers-- // it counted as one that may leave while nothing was heard of it
		}
		if !l.old(now) {
			r.until = l.before()
		}
		l.records[q.Name] = r
	}
	r.addr, r.heard, r.epoch, r.stuck, r.tolls, r.build = q.Addr, now, q.ActiveEpoch, q.BlockedBy, q.ErrorTally, q.Build
	right := a.AssignedEpoch
	if q.ActiveEpoch == right {
		r.behind = -1
	} else if r.behind < 0 {
		r.behind = now
	}
	out, isOut := o.Ejected[q.Name]
	isOut = isOut && (out.Incarnation == 0 || out.Incarnation == q.Incarnation)
	switch {
	case isOut && out.Incarnation == 0:
		a.Verdict, a.Reason = VerdictEjected, out.Reason
	case r.leaving && !isOut:
		a.Reason = "a change of its standing is under way"
		l.fences++
		if commands = l.command(now, q.Name, release.Command{Kind: release.KindRegister, ID: l.fences, Name: q.Name, Incarnation: q.Incarnation, Previous: q.Incarnation}); commands != nil {
			r.fence = l.fences
		}
	case isOut && r.behind < 0:
		a.Reason, r.leaving = "brought up", false
		return a, l.command(now, q.Name, release.Command{Kind: release.KindReadmit, Name: q.Name})
	case isOut:
		a.Verdict, a.Reason = VerdictLagging, late(r)
	case r.behind >= 0 && now > r.behind+l.terms.CatchUpTimeout && l.mayBeOut(o, q.Name):
		a.Verdict, a.Reason = VerdictLagging, late(r)
		if now > r.until { // it can't act any more, so that nobody sees it shut out while it acts
			r.leaving, r.fence = true, 0
			commands = l.command(now, q.Name, release.Command{Kind: release.KindEject, Name: q.Name, Incarnation: q.Incarnation, Reason: a.Reason})
		}
	default:
		a.Verdict, a.Duration, a.MayGoOutOfService = VerdictGranted, l.terms.Duration, l.mayLeave(now, o, r, q)
		r.until = now + l.whole()
	}
	return a, commands
}

// leave has a life have no lease until it is known how a command ended that may take its name.
func (l *Grantor) leave(now float64, name string, life uint64) {
	r := l.records[name]
	if r == nil || r.life != life {
		r = &record{life: life, behind: -1, until: now, heard: now}
		l.records[name] = r
	}
	r.leaving, r.fence = true, 0 // a fence asked for before this command says nothing of it
}

func late(r *record) string {
	if r.stuck != "" {
		return r.stuck
	}
	return "it does not come onto its version"
}

// over tells whether a name's holder can't act any more, as its lease is over. One that took the name from another has a lease's time to ask for its
// first: else several processes of one name would take it from one another for ever.
func (l *Grantor) over(now float64, name string, holder uint64) bool {
	r := l.records[name]
	switch {
	case r == nil:
		return l.old(now)
	case r.life != holder:
		r = &record{life: holder, behind: -1, until: max(now+l.whole(), l.before()), heard: now, leaver: true}
		l.records[name] = r
	}
	return now > r.until
}

// succeeds tells whether who asks listens where the holder of the name listened: the system lets no two listen there, so one of them is gone.
// A new leader knows where voters listen, which all are told.
func (l *Grantor) succeeds(q *Request, r *record, holder uint64) bool {
	home := l.homes[q.Name]
	if home == "" && r != nil && r.life == holder {
		home = r.addr
	}
	return home != "" && home == q.Addr
}

// prove tells a number that the asker has to say before it counts as its holder's successor, 0 where it said it. It guards against a late
// question of a life that is gone, which came from the same address; it costs a successor one more question.
func (l *Grantor) prove(q *Request) uint64 {
	p := l.proofs[q.Name]
	if p.life != q.Incarnation {
		l.fences++
		p = proof{q.Incarnation, l.fences}
		l.proofs[q.Name] = p
	}
	if q.Nonce == p.number {
		return 0
	}
	return p.number
}

// maxAsked bounds the commands that are under way: with more names than that, the rest is asked for later.
const maxAsked = 256

func (l *Grantor) command(now float64, name string, c release.Command) []release.Command {
	if at, asked := l.asked[name]; asked && now < at+askAgain {
		return nil
	}
	if len(l.asked) >= maxAsked {
		for n, at := range l.asked {
			if now >= at+askAgain {
				delete(l.asked, n)
			}
		}
		if len(l.asked) >= maxAsked {
			return nil
		}
	}
	l.asked[name] = now
	c.Author = author
	return []release.Command{c}
}

// most is how many of the fleet may be off the roster.
func (l *Grantor) most(o *release.Log) int {
	return int(l.terms.MaxUnavailable * float64(len(o.Members)))
}

// mayBeOut tells whether one more may be shut out as it is late: those that are, and those that have no lease as they are late, count.
func (l *Grantor) mayBeOut(o *release.Log, name string) bool {
	n := 0
	for other, out := range o.Ejected {
		if out.Incarnation != 0 && o.Members[other] == out.Incarnation {
			if other == name {
				return true
			}
			n++
		}
	}
	for other, r := range l.records {
		if _, is := o.Ejected[other]; !is && other != name && r.refused != "" && o.Members[other] == r.life {
			n++
		}
	}
	r := l.records[name]
	if most := max(l.most(o), min(1, len(o.Members)/2)); r.refused != "" || n < most { // one may be in any fleet that has another
		r.refused = "late"
		return true
	}
	return false
}

// mayLeave tells whether a server is among the few that may go off the roster when they hear nothing. One that may keeps that, also while it
// says nothing; a leader that follows hears of it from the server itself, and takes those that it has not heard for such. So those who
// leave together are never more than most, as long as the fleet does not shrink meanwhile.
func (l *Grantor) mayLeave(now float64, o *release.Log, r *record, q *Request) bool {
	if l.counted != o.AppliedCount || now > l.countedAt+tendEvery {
		l.counted, l.countedAt, l.leavers = o.AppliedCount, now, 0
		for name, life := range o.Members {
			if other := l.records[name]; other == nil || other.life != life || other.leaver {
				l.leavers++
			}
		}
	}
	most := l.most(o)
	switch {
	case q.MayGoOutOfService && !r.leaver:
		r.leaver, r.allowed = true, q.Number
		l.leavers++
	case r.leaver && !q.MayGoOutOfService && q.Number >= r.allowed+maxPending: // no answer that said so is waited for any more
		r.leaver = false
		l.leavers--
	}
	switch {
	case l.leavers > most && (l.old(now) || !r.leaver): // a new leader takes no place away before it has heard of all that have one
		return false
	case !r.leaver && (l.leavers >= most || !l.old(now)):
		return false
	case !r.leaver:
		r.leaver = true
		l.leavers++
	}
	r.allowed = q.Number
	return true
}

// tendEvery is how often a leader looks after those that say nothing and the release on its way.
const tendEvery = 0.25

// settled is the part of a wave's servers that have to act on the release before the next one: not all, as one of many may be absent.
const settled = 0.9

// Maintain tells what is to be asked for on the leader's own account: names to forget, waves to widen, a release to roll back.
func (l *Grantor) Maintain(now float64, o *release.Log, roll release.RolloutPolicy) (commands []release.Command) {
	if now < l.acted+tendEvery {
		return nil
	}
	l.acted = now
	for name, r := range l.records {
		if o.Members[name] != r.life {
			if now > r.heard+l.terms.ForgetAfter {
				delete(l.records, name)
			}
			continue
		}
		if r.behind < 0 || now > r.until+l.terms.Duration { // one that says nothing is not late but absent
			r.refused = ""
		}
	}
	if now > l.from+l.terms.ForgetAfter+l.whole() {
		for name, life := range o.Members {
			if r := l.records[name]; r == nil || now > r.heard+l.terms.ForgetAfter {
				if ask := l.command(now, name, release.Command{Kind: release.KindUnregister, Name: name, Incarnation: life}); ask != nil {
					l.leave(now-l.terms.ForgetAfter-1, name, life)
					commands = append(commands, ask...)
				}
			}
		}
		slices.SortFunc(commands, func(a, b release.Command) int { // not in the order of a map
			if a.Name < b.Name {
				return -1
			}
			return 1
		})
	}
	return append(commands, l.roll(now, o, roll)...)
}

// roll looks after the release on its way.
func (l *Grantor) roll(now float64, o *release.Log, roll release.RolloutPolicy) []release.Command {
	if o.Next == nil {
		l.waveOf = 0
		return nil
	}
	next := o.Next.Epoch
	if l.waveOf != next || l.wave != o.WaveIndex {
		l.waveOf, l.wave, l.waveAt = next, o.WaveIndex, now
	}
	var on, off release.ErrorTally
	in, there := 0, 0
	for name, r := range l.records {
		if o.Members[name] != r.life || now > r.heard+l.terms.Duration {
			continue
		}
		if r.epoch == next {
			on = on.Add(r.tolls)
		} else if r.epoch == o.Current.Epoch {
			off = off.Add(r.tolls)
		}
		if o.VersionFor(name).Epoch == next {
			in++
			if r.epoch == next {
				there++
			}
		}
	}
	if sure := release.HarmConfidence(on, off); sure > roll.HaltConfidence {
		return l.command(now, " release", release.Command{Kind: release.KindRollback, ExpectedEpoch: next, Reason: "it does harm: more tasks rejected or abandoned"})
	}
	if float64(there) < settled*float64(in) {
		l.waveAt = now
		return nil
	}
	if now < l.waveAt+roll.WaveSeconds {
		return nil
	}
	return l.command(now, " release", release.Command{Kind: release.KindAdvanceRollout, ExpectedEpoch: next})
}

// ServerStatus is what a leader knows of one name, for people.
type ServerStatus struct {
	Name              string
	Incarnation       uint64        `json:"Life"`
	ActiveEpoch       release.Epoch `json:"Epoch"`
	AssignedEpoch     release.Epoch `json:"Right"`
	SecondsSinceHeard float64       `json:"Heard"`  // seconds ago
	SecondsBehind     float64       `json:"Behind"` // seconds for which it is not on its version, 0 where it is
	BlockedBy         string        `json:"Stuck"`
	EjectionReason    string        `json:"Out"`
	Build             string
	Reported          bool `json:"Known"` // it was heard in this leader's term
}

// ServerStatuses lists every name that is held, by name.
func (l *Grantor) ServerStatuses(now float64, o *release.Log) []ServerStatus {
	list := make([]ServerStatus, 0, len(o.Members))
	for name, life := range o.Members {
		s := ServerStatus{Name: name, Incarnation: life, AssignedEpoch: o.VersionFor(name).Epoch}
		if out, is := o.Ejected[name]; is && (out.Incarnation == 0 || out.Incarnation == life) {
			s.EjectionReason = out.Reason
		}
		if r := l.records[name]; r != nil && r.life == life {
			s.Reported, s.ActiveEpoch, s.SecondsSinceHeard, s.BlockedBy, s.Build = true, r.epoch, now-r.heard, r.stuck, r.build
			if r.behind >= 0 {
				s.SecondsBehind = now - r.behind
			}
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b ServerStatus) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return list
}

// CheckReporter judges whether another server's word counts, its reports and what it asks to be acted on: only who holds its name, is not shut
// out, and acts on its version. Else it tells the version that would be right, and why.
func CheckReporter(o *release.Log, name string, life uint64, epoch release.Epoch) (right release.Epoch, why string) {
	right = o.VersionFor(name).Epoch
	out, isOut := o.Ejected[name]
	switch {
	case o.Members[name] != life:
		return right, "another life has that name"
	case isOut && (out.Incarnation == 0 || out.Incarnation == life):
		return right, "it is shut out"
	case epoch < right:
		return right, "it acts on an old version"
	}
	return right, ""
}
