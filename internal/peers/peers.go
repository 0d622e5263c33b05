// Package peers is a process's part in its fleet: membership and talk among processes. One goroutine owns all fleet state; it decides with
// internal/judge and hands the serving loop values, which that reads at the start of a batch. Nothing here ever makes an answer wait.
//
// What comes in is read in receive, decided in take and due, and sent in flush.
package peers

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"math/rand/v2"
	"net"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"swiftcourse/internal/judge/audit"
	"swiftcourse/internal/judge/door"
	"swiftcourse/internal/judge/member"
	"swiftcourse/internal/judge/replica"
	"swiftcourse/internal/judge/stance"
	"swiftcourse/internal/judge/version"
	wire "swiftcourse/internal/wire/fleet"
)

// Plan is what a process is told of its fleet.
type Plan struct {
	Name    string
	Listen  string            // for peers, TCP and UDP
	Voters  map[string]string // names and where they listen
	Join    []string          // where some others listen, beside the voters
	Terms   member.Config
	Silent  member.Mode
	Rollout version.RolloutPolicy
	Seed    int64
	Build   string
	Now     func() float64 // seconds, moves forward; the serving loop reads Standing by the same clock
	Unix    func() float64
	Via     map[string]string  // for tests: where a peer is reached instead of where it listens
	Passes  func(point string) // for tests: told of each point of a claim or a copy's way that is passed; nil for nobody
	Callers *Callers           // the known callers of its door; nil where they are told to nobody
	Copies  *Copies            // what of the fleet's state is kept by several servers; nil for nothing
	Budgets *Budgets           // budgets that all share; nil for none
	Health  *Health            // the service below, judged by all; nil for not
	Plans   *Plans             // what planners have forwarders do; nil for none
	Counts  bool               // what all are asked for is counted

	// Apply has the server act on a version's text, whole or not at all. It may take some time, but not for ever.
	Apply func(text string) error
	// Say writes a log line; nil writes it where all go.
	Say func(event string, args ...any)
	// Publish hands the serving loop how the server stands from now on.
	Publish func(*stance.Directive)
}

const (
	maxInbox    = 1024 // messages that wait for the goroutine; what comes beyond that is dropped, as the network may
	maxDone     = 64   // commands of operators that wait for their end
	briefEvery  = 2.0  // seconds between two brief accounts
	briefTo     = 3    // others that are told of each: with as many holders of the last word, two may die with it
	wantEvery   = 0.3
	orderEvery  = 2.0  // a follower's copy of the order, where it is behind
	learnEvery  = 0.25 // a cold voter asks others for their copy of the order, so some times before it could found a group
	learnFrom   = 4    // as many of them each time
	forgetEvery = 60.0 // looking through the book for names that are nobody's
	// restartAfter is how long a panic keeps the fleet's part down: it stops there, and what it knew is lost, as after a restart.
	restartAfter = time.Second
)

// Network brings messages to others. They may be lost, doubled, late; nothing waits for one.
type Network interface {
	Send(addr string, b []byte)
	Where(name string, life uint64, said string) string // a life's address, else the one that was said
	All() map[string]string                             // the others that are there: their names, and where they listen
	Some(most int, chance *rand.Rand) []string          // addresses of some of them, drawn
	Knows(name string) bool
}

// Part is what decides in one process's part of the fleet. It has no goroutine and no clock of its own: who owns it tells it what came and when.
type Part struct {
	Plan
	life   uint64
	net    Network
	voter  *version.Voter // nil where this is none
	self   *member.Holder
	ledger *member.Grantor
	book   *audit.Book

	order     *version.Log // a copy, also at those who don't vote
	orderAt   float64
	stamp     *stance.VersionStats
	counted   [2]uint64 // of the stamp, that the book has
	acts      version.Version
	stuck     string
	wantAt    float64
	briefAt   float64
	forgetAt  float64
	eager     int           // brief accounts that follow one another sooner, as there is news
	rumoured  version.Epoch // the newest that anybody was heard to act on
	published member.Snapshot
	voters    []string // names, sorted
	ask       int      // which voter is asked next where no leader is known
	pending   map[uint64]*pending
	gathers   map[uint64]*gather
	numbers   uint64
	chance    *rand.Rand
	copies    *copies  // nil where there are none
	callers   *callers // likewise
	budgets   *budgets // likewise
	below     *belowState
	counts    *counting
	plans     *planning
}

// Peers is the part of one process at work: a goroutine owns a Part, and the network feeds it.
type Peers struct {
	*Part
	talk     *network
	inbox    chan *wire.Message
	asks     chan func(now float64)
	words    chan Word             // of the serving loop about its claims
	earnings chan []door.Earned    // of its door
	uses     chan []Use            // of the loop, of budgets
	calls    chan stance.CallStats // of the loop, of the service below
	tallies  chan []stance.CounterCell
	quit     chan struct{}
	ended    chan struct{}
	lost     atomic.Uint64 // messages that had no room, or could not be read
}

// pending is an operator's command on its way.
type pending struct {
	command *version.Command
	again   float64
	until   float64
	tell    func(wire.Done)
}

// gather is an audit that waits for others' accounts.
type gather struct {
	until    float64
	wait     map[string]bool // lives that have not answered, by node
	accounts []audit.Account
	alive    map[uint64]bool
	order    *version.Log
	standing []member.ServerStatus
	copies   map[string]*replica.Status
	tell     func(*gather)
}

// Start begins to listen, and to talk. The life is drawn from the seed, which is new with each start.
func Start(p Plan) (*Peers, error) {
	chance := rand.New(rand.NewPCG(uint64(p.Seed), uint64(time.Now().UnixNano()))) // a restart in the same instant is another life all the same
	f := &Peers{inbox: make(chan *wire.Message, maxInbox), asks: make(chan func(float64), 16),
		words: make(chan Word, maxWords), earnings: make(chan []door.Earned, maxEarnings), uses: make(chan []Use, maxUses),
		calls: make(chan stance.CallStats, maxCounts), tallies: make(chan []stance.CounterCell, maxTallies), quit: make(chan struct{}), ended: make(chan struct{})}
	life := chance.Uint64() | 1
	var err error
	if f.talk, err = listen(&p, life, f.receive); err != nil {
		return nil, fmt.Errorf("fleet-listen %s: %w", p.Listen, err)
	}
	f.Part = NewPart(p, life, f.talk, chance)
	go f.run()
	return f, nil
}

// NewPart makes the part of a life that begins.
func NewPart(p Plan, life uint64, net Network, chance *rand.Rand) *Part {
	if p.Say == nil {
		p.Say = slog.Info
	}
	f := &Part{Plan: p, life: life, net: net, chance: chance, order: (&version.Log{}).Clone(), stamp: &stance.VersionStats{},
		pending: map[uint64]*pending{}, gathers: map[uint64]*gather{}}
	for name := range p.Voters {
		f.voters = append(f.voters, name)
	}
	slices.Sort(f.voters)
	now := p.Now()
	if _, votes := f.Voters[f.Name]; votes {
		f.voter = version.NewVoter(f.Name, f.voters, int64(f.chance.Uint64()>>1), wire.Codec{}, now, f.Unix())
	}
	f.self = member.NewHolder(f.Name, f.life, f.Listen, f.Build, f.Silent, f.Terms.Duration, now)
	f.book = audit.NewBook(f.Name, f.life, f.Unix())
	f.book.Begin(f.Unix(), 0, "", "started")
	f.publish()
	f.beginCopies(now)
	f.beginCallers(now)
	f.beginBudgets(now)
	f.beginHealth(now)
	f.beginCounts(now)
	f.beginPlans(now)
	return f
}

// Stop leaves the fleet.
func (f *Peers) Stop() {
	close(f.quit)
	<-f.ended
	f.talk.close()
}

// Life is this process's life.
func (f *Part) Life() uint64 { return f.life }

// receive reads a message as it comes, on the network's goroutines.
func (f *Peers) receive(b []byte) {
	m, err := wire.Read(b)
	if err != nil {
		if f.lost.Add(1)%1000 == 1 {
			slog.Info("fleet_bad_message", "err", err, "times", f.lost.Load())
		}
		return
	}
	m.Size = len(b)
	select {
	case f.inbox <- m:
	default:
		f.lost.Add(1)
	}
}

func (f *Peers) run() {
	defer close(f.ended)
	for f.turns() {
		select {
		case <-f.quit:
			return
		case <-time.After(restartAfter):
			f.Part = NewPart(f.Plan, f.chance.Uint64()|1, f.talk, f.chance)
		}
	}
}

// turns runs until the end, or until a panic, which stops here: the server goes on, and its part in the fleet begins anew under another life.
func (f *Peers) turns() (again bool) {
	defer func() {
		if p := recover(); p != nil {
			slog.Error("fleet_panic", "cause", fmt.Sprint(p), "stack", string(debug.Stack()))
			again = true
		}
	}()
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	for {
		select {
		case <-f.quit:
			return false
		case m := <-f.inbox:
			f.Take(f.Now(), m)
			for range len(f.inbox) { // what is there already goes with it
				f.Take(f.Now(), <-f.inbox)
			}
		case do := <-f.asks:
			do(f.Now())
		case list := <-f.earnings:
			f.earned(list)
		case c := <-f.calls:
			f.HeedCalls(f.Now(), c)
		case list := <-f.tallies:
			f.HeedTallies(list)
		case list := <-f.uses:
			f.HeedUses(f.Now(), list)
		case w := <-f.words:
			f.Heed(f.Now(), w)
			for range len(f.words) {
				f.Heed(f.Now(), <-f.words)
			}
		case <-alarm.C:
		}
		f.Due(f.Now())
		alarm.Reset(max(time.Millisecond, time.Duration((f.Next()-f.Now())*float64(time.Second))))
	}
}

// Next is when Due is to be called.
func (f *Part) Next() float64 {
	next := min(f.self.NextWakeup(), f.published.ChangesAt, f.briefAt+f.briefPause())
	if f.voter != nil {
		next = min(next, f.voter.NextWakeup())
	}
	next = min(next, f.nextCopies(f.Now()), f.nextCallers(f.Now()), f.nextBudgets(), f.nextHealth(), f.nextCounts(), f.nextPlans())
	if len(f.pending) > 0 || len(f.gathers) > 0 || f.self.AssignedEpoch() > f.acts.Epoch {
		next = min(next, f.Now()+0.1)
	}
	return next
}

// Take carries one message to the judge that it is for.
func (f *Part) Take(now float64, m *wire.Message) {
	switch {
	case m.Voting != nil:
		if f.voter != nil {
			f.voter.HandleMessage(now, m.Voting)
		}
	case m.Question != nil:
		f.answer(now, m.Question)
	case m.Answer != nil:
		if f.self.HandleReply(now, m.Answer) {
			state, _, why := f.self.State()
			f.Say("fleet_standing", "state", state, "why", why, "right", f.self.AssignedEpoch())
		}
	case m.Want != 0:
		if v := f.order.FindVersion(m.Want); v != nil {
			f.reply(m, &wire.Message{Version: v})
		}
	case m.Version != nil:
		f.catchUp(now, m.Version, "caught up")
	case m.Do != nil:
		f.forward(now, m)
	case m.Done != nil:
		if p := f.pending[m.Done.ID]; p != nil {
			delete(f.pending, m.Done.ID)
			p.tell(*m.Done)
		}
	case m.Brief != nil:
		f.book.Hear(*m.Brief)
		f.rumour(now, m.Brief)
	case m.Ask != nil:
		f.tellAll(now, m)
	case m.Told != nil:
		f.gathered(m)
	case m.AskCallers || m.Vouchers != nil:
		f.takeCallers(now, m)
	case m.Wishes != nil || m.Grants != nil:
		f.takeBudgets(now, m)
	case m.Row != nil || m.RowHeard != nil || m.AskRows != nil || m.Rows != nil:
		f.takeCounts(now, m)
	case m.PlanReport != nil || m.PlanPart != nil:
		f.takePlans(now, m)
	case m.Health != nil:
		f.takeHealth(now, m)
	default:
		f.takeCopies(now, m)
	}
}

// briefPause is how long after a brief account the next one is due.
func (f *Part) briefPause() float64 {
	if f.eager > 0 {
		return eagerEvery
	}
	return briefEvery
}

// eagerBriefs follow a change, so soon after one another: with three others told each time, one in e^9 hears of it only by its own question.
const (
	eagerBriefs = 3
	eagerEvery  = 0.15
)

// rumour hears that others act on something newer: the leader is asked soon, once for each epoch, and not by all in one instant.
func (f *Part) rumour(now float64, a *audit.Account) {
	if n := len(a.Intervals); n > 0 && a.Intervals[n-1].Epoch > max(f.rumoured, f.self.AssignedEpoch()) {
		f.rumoured = a.Intervals[n-1].Epoch
		f.self.RequestBy(now + rumourWithin*f.chance.Float64())
	}
}

// rumourWithin spreads the questions that follow a rumour, in seconds: a thousand servers that hear of one at once are 5,000 questions a second then,
// a thousandth of what a leader answers.
const rumourWithin = 0.2

// reply sends a message back to where one came from.
func (f *Part) reply(to, m *wire.Message) {
	f.send(f.net.Where(to.From, to.Life, cmp.Or(f.Voters[to.From], to.Addr)), m)
}

func (f *Part) send(addr string, m *wire.Message) {
	if addr == "" {
		return
	}
	m.From, m.Life, m.Addr = f.Name, f.life, f.Listen
	b, err := wire.Put(m)
	if err != nil {
		f.Say("fleet_unsent", "err", err)
		return
	}
	f.net.Send(addr, b)
}

// confirmed tells whether this process leads, as a majority confirmed lately.
func (f *Part) confirmed(now float64) bool {
	return f.voter != nil && f.voter.IsLeader(now-member.LeaderConfirmationWindow)
}

// answer answers a server that asks how it stands.
func (f *Part) answer(now float64, q *member.Request) {
	a := member.Reply{Incarnation: q.Incarnation, Number: q.Number, Verdict: member.VerdictRetry}
	if f.voter != nil {
		f.voter.ObserveClusterID(q.ActiveEpoch.ClusterID())
		a.Leader = f.voter.Leader()
	}
	if f.confirmed(now) && f.ledger != nil {
		var commands []version.Command
		a, commands = f.ledger.HandleRequest(now, q, f.order, true)
		a.Leader = f.Name
		f.propose(commands)
	} else if a.Leader == f.Name {
		a.Leader = ""
	}
	if q.Name == f.Name && q.Incarnation == f.life {
		f.Take(now, &wire.Message{Answer: &a})
		return
	}
	f.send(q.Addr, &wire.Message{Answer: &a})
}

func (f *Part) propose(commands []version.Command) {
	for i := range commands {
		commands[i].IssuedAt = f.Unix()
		f.voter.ProposeAsLeader(&commands[i])
	}
}

// Due does what is due, and sends what there is to say.
func (f *Part) Due(now float64) {
	if f.voter != nil {
		f.voter.Tick(now)
		f.lead(now)
	}
	if f.self.Expire(now) {
		_, _, why := f.self.State()
		f.Say("fleet_standing", "state", member.StateExpired, "why", why, "right", f.self.AssignedEpoch())
	}
	f.bringUp(now)
	f.count()
	if f.self.NextWakeup() <= now {
		f.inquire(now)
	}
	f.follow(now)
	if now >= f.briefAt+f.briefPause() {
		f.briefAt = now
		f.eager = max(0, f.eager-1)
		brief := f.book.Brief()
		for _, addr := range f.net.Some(briefTo, f.chance) {
			f.send(addr, &wire.Message{Brief: &brief})
		}
	}
	if now >= f.forgetAt+forgetEvery && len(f.order.Members) > 0 {
		f.forgetAt = now
		f.book.Forget(func(name string) bool { _, held := f.order.Members[name]; return held || f.net.Knows(name) })
	}
	f.again(now)
	f.dueCopies(now)
	f.dueCallers(now)
	f.dueBudgets(now)
	f.dueHealth(now)
	f.dueCounts(now)
	f.duePlans(now)
	f.flush()
	f.publish()
}

// lead does what a leader does.
func (f *Part) lead(now float64) {
	f.order = f.voter.ReleaseLog()
	if newest := f.order.NewestEpoch(); newest > max(f.rumoured, f.self.AssignedEpoch()) {
		f.rumoured = newest
		f.self.RequestBy(now)
	}
	leads := f.confirmed(now)
	switch {
	case leads && f.ledger == nil:
		f.ledger = member.NewGrantor(f.Terms, f.Voters, now)
		f.Say("fleet_leads", "newest", f.order.NewestEpoch())
	case !leads && f.ledger != nil && f.voter.Leader() != f.Name:
		f.ledger = nil
		f.Say("fleet_follows", "leader", f.voter.Leader())
	}
	f.leadBudgets(now)
	f.leadPlans(now)
	for _, e := range f.voter.TakeResults() {
		if f.ledger != nil {
			f.ledger.HandleCommandResult(e.Command)
		}
		if e.Command.Kind != version.KindRegister || e.Err != nil && e.Err != version.ErrNameTaken {
			f.Say("fleet_order", "command", e.Command.Kind, "by", e.Command.Author, "name", e.Command.Name, "why", e.Command.Reason,
				"newest", f.order.NewestEpoch(), "refused", fmt.Sprint(e.Err))
		}
		if p := f.pending[e.Command.ID]; p != nil && e.Command.ID != 0 {
			delete(f.pending, e.Command.ID)
			p.tell(ending(e, f.order.NewestEpoch()))
		}
	}
	if leads && f.ledger != nil {
		f.propose(f.ledger.Maintain(now, f.order, f.Rollout))
	}
}

func ending(e version.CommandResult, newest version.Epoch) wire.Done {
	d := wire.Done{ID: e.Command.ID, Newest: newest}
	if e.Err != nil {
		d.Refused = e.Err.Error()
	}
	return d
}

// inquire asks the leader how this server stands, or some voter who leads.
func (f *Part) inquire(now float64) {
	q := f.self.NewRequest(now)
	name := f.self.Leader()
	if _, votes := f.Voters[name]; !votes {
		if len(f.voters) == 0 {
			return
		}
		name = f.voters[f.ask%len(f.voters)]
		f.ask++
	} else if f.self.Unanswered() > maxUnheard {
		f.self.HandleLeaderUnreachable(now)
	}
	if name == f.Name {
		f.answer(now, &q)
		return
	}
	f.send(f.Voters[name], &wire.Message{Question: &q})
}

// maxUnheard questions to one leader have no answer before another voter is asked.
const maxUnheard = 2

// bringUp gets the version that this server has to act on.
func (f *Part) bringUp(now float64) {
	right := f.self.AssignedEpoch()
	if right <= f.acts.Epoch {
		return
	}
	if v := f.order.FindVersion(right); v != nil {
		f.catchUp(now, v, "released")
		return
	}
	if now < f.wantAt+wantEvery {
		return
	}
	f.wantAt = now
	name := f.self.Leader()
	if f.Voters[name] == "" || f.chance.IntN(4) == 0 { // or whoever has it
		name = f.voters[f.chance.IntN(len(f.voters))]
	}
	if name != f.Name {
		f.send(f.Voters[name], &wire.Message{Want: right})
	}
}

// catchUp acts on a version, where it is whole and the right one.
func (f *Part) catchUp(now float64, v *version.Version, why string) {
	if v.Epoch != f.self.AssignedEpoch() || v.Epoch <= f.acts.Epoch || !v.DigestMatches() || f.stuck != "" && now < f.wantAt+1 {
		return
	}
	f.wantAt = now
	err := error(nil)
	if v.Build != "" && v.Build != f.Build {
		err = fmt.Errorf("it is meant for build %s, this is %s", v.Build, f.Build)
	} else if v.Text != f.acts.Text || f.acts.Epoch == 0 {
		err = f.Apply(v.Text)
	}
	if err != nil {
		if f.stuck != err.Error() {
			f.Say("fleet_stuck", "epoch", v.Epoch, "err", err)
		}
		f.stuck = err.Error()
		f.self.SetActiveEpoch(f.acts.Epoch, f.stuck)
		return
	}
	f.count()
	f.acts, f.stuck = *v, ""
	f.stamp, f.counted = &stance.VersionStats{}, [2]uint64{}
	f.book.Begin(f.Unix(), v.Epoch, v.Digest, why)
	f.self.SetActiveEpoch(v.Epoch, "")
	f.heedBudgets(now)
	f.briefAt, f.eager = math.Inf(-1), eagerBriefs // others hear of it at once
	f.Say("fleet_acts", "epoch", v.Epoch, "digest", v.Digest, "author", v.Author, "why", why)
}

// count takes over what the loop counted.
func (f *Part) count() {
	batches, tasks := f.stamp.Batches.Load(), f.stamp.Requests.Load()
	f.book.Count(f.Unix(), batches-f.counted[0], tasks-f.counted[1])
	f.counted = [2]uint64{batches, tasks}
	f.self.SetErrorTally(version.ErrorTally{Completed: float64(f.stamp.Completed.Load()), Failed: float64(min(f.stamp.Failed.Load(), f.stamp.Completed.Load()))})
}

// follow keeps a copy of the order, from which others' words are judged and a lost group of voters starts again: a voter that is cold asks some of
// the others for theirs. What is asked says what is known, so that only news costs more than a few bytes.
func (f *Part) follow(now float64) {
	cold := f.voter != nil && !f.voter.Joined()
	if f.voter != nil && !cold || len(f.voters) == 0 {
		return
	}
	every, from := orderEvery, 1
	if cold {
		every, from = learnEvery, learnFrom
	}
	if now < f.orderAt+every {
		return
	}
	f.orderAt = now
	ask := &wire.Message{Ask: &wire.Ask{Names: []string{""}, Founding: f.order.Current.Epoch.ClusterID(), Count: f.order.AppliedCount}}
	if !cold && (f.self.AssignedEpoch() != f.order.NewestEpoch() || f.chance.IntN(8) == 0) { // a copy from the voters themselves now and then
		f.send(f.Voters[f.voters[f.chance.IntN(len(f.voters))]], ask)
		return
	}
	for _, addr := range f.net.Some(from, f.chance) {
		f.send(addr, ask)
	}
}

// publish hands the loop what has changed.
func (f *Part) publish() {
	v := f.self.Snapshot()
	v.Stats = f.stamp
	if v != f.published {
		f.published = v
		f.Publish(&v.Directive)
	}
}

// flush sends what the voter says.
func (f *Part) flush() {
	if f.voter == nil {
		return
	}
	for _, l := range f.voter.TakeOutbox() {
		f.send(f.Voters[l.To], &wire.Message{Voting: &l.Message})
	}
}

// forward takes an operator's command that came by another server, or here.
func (f *Part) forward(now float64, m *wire.Message) {
	c := m.Do
	if f.pending[c.ID] != nil || c.ID == 0 || len(f.pending) >= maxDone {
		return
	}
	from := *m
	f.pending[c.ID] = &pending{command: c, until: now + maxWait, tell: func(d wire.Done) { f.reply(&from, &wire.Message{Done: &d}) }}
}

// maxWait is how long an operator waits for a command.
const maxWait = 10.0

// again repeats commands until their end is known.
func (f *Part) again(now float64) {
	for _, id := range slices.Sorted(maps.Keys(f.pending)) { // in an order, so that a schedule repeats itself
		p := f.pending[id]
		switch {
		case now > p.until:
			delete(f.pending, id)
			p.tell(wire.Done{ID: id, Refused: "no majority of the voters answered in time; it may still be carried out", Newest: f.order.NewestEpoch()})
		case now >= p.again:
			p.again = now + 0.5
			if f.voter != nil && f.voter.Joined() {
				f.voter.Propose(p.command)
			} else if len(f.voters) > 0 {
				name := cmp.Or(f.self.Leader(), f.voters[f.chance.IntN(len(f.voters))])
				f.send(f.Voters[name], &wire.Message{Do: p.command})
			}
		}
	}
	for number, g := range f.gathers {
		if now > g.until || len(g.wait) == 0 && g.order != nil {
			delete(f.gathers, number)
			g.tell(g)
		}
	}
}

// tellAll answers who asks for accounts. A voter tells the order too, a leader how all stand.
func (f *Part) tellAll(now float64, m *wire.Message) {
	t := &wire.Told{Number: m.Ask.Number}
	if m.Ask.Number != 0 {
		f.count()
		t.Copies = f.CopiesState()
		t.Accounts = append(f.book.Heard(m.Ask.Names), f.book.Own())
		if len(t.Accounts) > maxTold {
			t.Accounts = t.Accounts[len(t.Accounts)-maxTold:]
		}
	}
	known := &version.Log{Current: version.Version{Epoch: version.NewEpoch(m.Ask.Founding, 0)}, AppliedCount: m.Ask.Count}
	if f.order.NewerThan(known) && (f.voter != nil || m.Ask.Number == 0) {
		t.Order = f.order
	}
	if m.Ask.Number == 0 && t.Order == nil {
		return // nothing new
	}
	if f.voter != nil && f.voter.Joined() {
		if m.Ask.Number != 0 && f.ledger != nil && f.confirmed(now) {
			t.Standings = f.ledger.ServerStatuses(now, f.order)
		}
	}
	f.reply(m, &wire.Message{Told: t})
}

// maxTold accounts go in one answer.
const maxTold = 500

func (f *Part) gathered(m *wire.Message) {
	t := m.Told
	switch {
	case t.Order == nil || !t.Order.NewerThan(f.order):
	case f.voter == nil:
		f.order = t.Order
	default:
		f.voter.ObserveReleaseLog(t.Order)
	}
	g := f.gathers[t.Number]
	if g == nil {
		return
	}
	if !g.wait[m.From] {
		return
	}
	delete(g.wait, m.From)
	for _, a := range t.Accounts {
		if a.Name == m.From && a.Life == m.Life {
			g.alive[a.Life] = true
		}
		g.accounts = append(g.accounts, a)
	}
	if t.Order != nil && (g.order == nil || t.Order.NewerThan(g.order)) {
		g.order = t.Order
	}
	if t.Standings != nil {
		g.standing = t.Standings
	}
	if t.Copies != nil {
		g.copies[m.From] = t.Copies
	}
}

// Audit asks everybody what they acted on, and waits for the answers as long as it takes, at most some seconds.
func (f *Peers) Audit(since version.Epoch) (audit.Report, *gather, error) {
	done := make(chan *gather, 1)
	if err := f.do(func(now float64) { f.gather(now, func(g *gather) { done <- g }) }); err != nil {
		return audit.Report{}, nil, err
	}
	select {
	case g := <-done:
		if g.order == nil {
			return audit.Report{}, nil, errors.New("no voter answered that sits in a group: nobody knows the order")
		}
		return audit.Make(g.order, g.standing, g.accounts, g.alive, since), g, nil
	case <-time.After(time.Duration((gatherFor + 2) * float64(time.Second))):
		return audit.Report{}, nil, errors.New("the fleet's part of this server is down")
	}
}

// gather asks everybody what they acted on.
func (f *Part) gather(now float64, tell func(*gather)) {
	f.numbers++
	g := &gather{until: now + gatherFor, wait: map[string]bool{}, alive: map[uint64]bool{f.life: true}, copies: map[string]*replica.Status{}, tell: tell}
	if own := f.CopiesState(); own != nil {
		g.copies[f.Name] = own
	}
	f.count()
	g.accounts = append(f.book.Heard(nil), f.book.Own())
	if f.voter != nil && f.voter.Joined() {
		g.order = f.order
		if f.ledger != nil && f.confirmed(now) {
			g.standing = f.ledger.ServerStatuses(now, f.order)
		}
	}
	f.gathers[f.numbers] = g
	var gone []string
	for name := range f.order.Members {
		if name != f.Name && !f.net.Knows(name) && len(gone) < maxTold {
			gone = append(gone, name)
		}
	}
	if gone == nil {
		gone = []string{""} // an empty list would ask for all
	}
	for name, addr := range f.net.All() {
		g.wait[name] = true
		f.send(addr, &wire.Message{Ask: &wire.Ask{Number: f.numbers, Names: gone}})
	}
}

// gatherFor is how long an audit waits for those that don't answer.
const gatherFor = 2.0

// do has the goroutine that owns everything do something.
func (f *Peers) do(what func(now float64)) error {
	select {
	case f.asks <- what:
		return nil
	case <-time.After(2 * time.Second):
		return errors.New("the fleet's part of this server is busy")
	}
}

// Command asks for a command and waits for its end. Where on is 0 it is meant for the newest version that this server knows of.
func (f *Peers) Command(c version.Command) (version.Epoch, error) {
	done := make(chan wire.Done, 1)
	if err := f.do(func(now float64) { f.Order(now, c, func(d wire.Done) { done <- d }) }); err != nil {
		return 0, err
	}
	select {
	case d := <-done:
		if d.Refused != "" {
			return d.Newest, errors.New(d.Refused)
		}
		return d.Newest, nil
	case <-time.After(time.Duration((maxWait + 2) * float64(time.Second))):
		return 0, errors.New("the fleet's part of this server is down")
	}
}

// Order asks for an operator's command, and tells how it ended.
func (f *Part) Order(now float64, c version.Command, tell func(wire.Done)) {
	if len(f.pending) >= maxDone {
		tell(wire.Done{Refused: "too many commands are under way"})
		return
	}
	c.ID, c.IssuedAt = f.chance.Uint64()|1, f.Unix()
	if c.ExpectedEpoch == 0 {
		c.ExpectedEpoch = f.order.NewestEpoch()
	}
	f.pending[c.ID] = &pending{command: &c, until: now + maxWait, tell: tell}
}

// Known is the order as this process knows it; it is not to be changed.
func (f *Part) Known() *version.Log { return f.order }

// Standing is how this process stands, and on which version it acts.
func (f *Part) Standing() (member.Snapshot, version.Version) { return f.published, f.acts }

// Clock is a process's clock for its fleet. For tests it may be off, or run at another rate.
type Clock struct {
	Base func() float64 // seconds, moves forward
	Off  float64        // seconds that the Unix clock is off
	Rate float64
	from float64
	unix float64
}

// NewClock makes a clock that is right from a clock of the process and its Unix time.
func NewClock(base func() float64, unix, off, rate float64) *Clock {
	return &Clock{Base: base, Off: off, Rate: rate, from: base(), unix: unix}
}

// Now moves forward.
func (c *Clock) Now() float64 { return c.from + (c.Base()-c.from)*c.Rate }

// Unix is the time of day.
func (c *Clock) Unix() float64 { return c.unix + c.Off + (c.Base()-c.from)*c.Rate }

// Back turns a time of this clock into one of the process's.
func (c *Clock) Back(t float64) float64 {
	if math.IsInf(t, 0) {
		return t
	}
	return c.from + (t-c.from)/c.Rate
}

// split reads an address.
func split(addr string) (net.IP, int, error) {
	a, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return nil, 0, err
	}
	return a.IP, a.Port, nil
}
