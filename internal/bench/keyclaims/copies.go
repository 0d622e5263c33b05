// Package keyclaims is an experiment on what several servers keep of the fleet's state: processes of the real program get tries of the same keys at
// different servers while they are killed, stopped and cut off by a seed, and a ledger at their processors counts the runs of each key.
package keyclaims

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"swiftcourse/internal/bench/faultinjection"
	"swiftcourse/internal/bench/loadgen"
	"swiftcourse/internal/fleet"
	"swiftcourse/internal/policy/replication"
	state "swiftcourse/internal/replicastore"
)

// Plan is one run.
type Plan struct {
	Program string
	Servers int
	Copies  int
	Kills   int
	Seconds float64
	Seed    uint64
	Quiet   bool    // nothing but kills
	Points  bool    // two servers die at points of claims and copies that the seed draws, again and again
	Cost    bool    // measure what claims add to latency, before anything goes wrong
	Rate    float64 // tries a second, over all servers
	Log     io.Writer
}

// Check tells what is wrong with a plan.
func (p *Plan) Check() error {
	if p.Servers < 3 || p.Servers > 30 || p.Copies < 1 || p.Copies > 7 || p.Kills < 0 || p.Kills > 1000 || p.Seconds < 2 || p.Seconds > 600 || p.Rate <= 0 || p.Rate > 500 {
		return fmt.Errorf("--servers %d --copies %d --kills %d --seconds %g --rate %g: from 3 to 30, 1 to 7, 0 to 1000, 2 to 600, and over 0 to 500",
			p.Servers, p.Copies, p.Kills, p.Seconds, p.Rate)
	}
	return nil
}

// Row is what a run came to.
type Row struct {
	Seed        uint64  `json:"seed"`
	Servers     int     `json:"servers"`
	Kills       int     `json:"kills"`
	Points      int     `json:"deaths_at_points"`
	Faults      int     `json:"faults"` // beside them
	Tries       int     `json:"tries"`
	Keys        int     `json:"keys"`
	Finished    int     `json:"finished"`
	Rejected    int     `json:"rejected"`
	Abandoned   int     `json:"abandoned"`
	Cut         int     `json:"cut"` // the server went with it
	Unanswered  int     `json:"unanswered"`
	RunsMax     int     `json:"runs_per_key_max"` // within the window
	Wrong       int     `json:"wrong_answers"`
	Lost        int     `json:"results_lost_within_promise"`
	MinorityRan int     `json:"minority_ran"`
	Differ      int     `json:"differences_left"`
	HealMs      float64 `json:"heal_ms"`
	PlainP50    float64 `json:"plain_p50_us"` // of tasks without a key
	PlainP99    float64 `json:"plain_p99_us"`
	KeyedP50    float64 `json:"keyed_p50_us"`
	KeyedP99    float64 `json:"keyed_p99_us"`
	TalkBytes   float64 `json:"talk_bytes_s"` // that a server sends; 0 where there are no relays to count it
}

// Heads and Cells are those of the table.
var Heads = []string{"seed", "servers", "kills", "points", "faults", "tries", "keys", "finished", "rejected", "abandoned", "cut", "unanswered", "runs max", "wrong", "lost",
	"minority", "differ", "heal ms", "plain p50", "p99 us", "keyed p50", "p99 us", "talk B/s"}

// Cells are a row's in the table.
func (r Row) Cells() []string {
	return strings.Fields(fmt.Sprintf("%d %d %d %d %d %d %d %d %d %d %d %d %d %d %d %d %d %.0f %.0f %.0f %.0f %.0f %.0f", r.Seed, r.Servers, r.Kills, r.Points, r.Faults, r.Tries,
		r.Keys, r.Finished, r.Rejected, r.Abandoned, r.Cut, r.Unanswered, r.RunsMax, r.Wrong, r.Lost, r.MinorityRan, r.Differ, r.HealMs, r.PlainP50, r.PlainP99,
		r.KeyedP50, r.KeyedP99, r.TalkBytes))
}

// Bad counts what must not be.
func (r *Row) Bad() int {
	return max(0, r.RunsMax-1) + r.Wrong + r.Lost + r.MinorityRan + r.Differ + r.Unanswered
}

const (
	// window is how long keys are kept here: long enough that a key is tried again some times, short enough that it ends within a run.
	window = 4 * time.Second
	// patience of a caller.
	patience = time.Second
	// healIn is how long the fleet has to agree after the last fault: twice what a holder that nobody can tell waits.
	healIn = 30 * time.Second
	// settled is how long a cut stands before what runs behind it counts: what was granted before may still begin.
	settled = patience + 500*time.Millisecond
)

// run is a run under way.
type run struct {
	*Plan
	fleet  *faultinjection.Fleet
	ledger *faultinjection.RunLog
	place  *replication.Placement
	row    Row
	wait   sync.WaitGroup

	mu    sync.Mutex
	keys  []*key
	where map[string]string // the server that each try went to
	kills []time.Time
	cuts  []cut
}

// key is what callers know of one.
type key struct {
	name     string
	finished time.Time // when one was first told a result; zero for never
	result   string
}

// cut is a minority that was cut off both ways, from when to when.
type cut struct {
	names    []string
	from, to time.Time
}

// Run plays a seed.
func Run(ctx context.Context, p *Plan) (Row, error) {
	r := &run{Plan: p, ledger: faultinjection.NewRunLog(), where: map[string]string{}, row: Row{Seed: p.Seed, Servers: p.Servers}}
	shape := faultinjection.SmallShape(p.Program)
	terms := replication.Config{ReplicationFactor: p.Copies, RetentionWindow: window.Seconds(), MaxClaimDuration: shape.Settings.Stages[0].TimeLimitMs / 1000}
	shape.Log = p.Log
	names := make([]string, p.Servers)
	for i := range names {
		names[i] = fmt.Sprintf("n%d", i+1)
		terms.Members = append(terms.Members, replication.Member{Name: names[i], Weight: 1})
	}
	var err error
	if r.place, err = replication.NewPlacement(terms); err != nil {
		return r.row, err
	}
	conf := fmt.Sprintf("door on\nfleet-lease 2s\nfleet-behind 2s\nreplica-holders %s\nreplica-copies %d\nreplica-keyed %s\nreplica-window %s\n",
		strings.Join(names, " "), p.Copies, faultinjection.PingClass, window)
	f, err := faultinjection.Start(ctx, faultinjection.Config{Shape: shape, Servers: p.Servers, Voters: min(p.Servers, 3+2*(p.Servers/15)), ExtraSettings: conf, Seed: p.Seed, RunLog: r.ledger, CrashPointByName: r.points(names),
		NoRelays: p.Cost && p.Quiet && p.Kills == 0})
	if err != nil {
		return r.row, fmt.Errorf("seed %d: %w", p.Seed, err)
	}
	defer f.Close()
	r.fleet = f
	if !faultinjection.WaitUntil(healIn, func() bool { return f.ReplicasCaughtUp(names...) }) {
		return r.row, fmt.Errorf("seed %d: holders may not answer after %s", p.Seed, healIn)
	}
	if p.Cost {
		if err := r.cost(ctx); err != nil {
			return r.row, err
		}
	}
	sent, from := r.sent(), time.Now()
	stop, stirred := make(chan struct{}), make(chan struct{})
	go func() { defer close(stirred); r.stir(ctx); close(stop) }()
	r.callers(ctx, stop)
	<-stirred
	r.wait.Wait()
	r.row.TalkBytes = float64(r.sent()-sent) / time.Since(from).Seconds() / float64(p.Servers)
	r.judge()
	return r.row, nil
}

// points draws where two servers die: each time they have passed a point some times, from the end of the first start on.
func (r *run) points(names []string) map[string]string {
	if !r.Points {
		return nil
	}
	chance := rand.New(rand.NewPCG(r.Seed, 19))
	die := map[string]string{}
	for range 2 {
		point := fleet.TracePoints[chance.IntN(len(fleet.TracePoints))]
		die[names[chance.IntN(len(names))]] = fmt.Sprintf("%s,%d,%g", point, 1+chance.IntN(30), window.Seconds()+6)
	}
	return die
}

func (r *run) sent() (all int64) {
	for _, name := range r.fleet.Names {
		all += r.fleet.Net.BytesSent(name)
	}
	return all
}

// cost measures tasks without keys and with them, in turns, at a rate that leaves the servers mostly idle.
func (r *run) cost(ctx context.Context) error {
	var addrs []string
	for _, s := range r.fleet.Servers {
		addrs = append(addrs, s.Addr)
	}
	var took [2]loadgen.Stats
	for round := range 6 {
		l, err := loadgen.Start(ctx, loadgen.Config{Addresses: addrs, ConnsPerServer: 2, Rate: 60 * float64(r.Servers), Class: faultinjection.PingClass, Timeout: patience, Keyed: round%2 == 1,
			Seed: r.Seed<<8 + uint64(round)})
		if err != nil {
			return err
		}
		time.Sleep(2 * time.Second)
		took[round%2].Merge(l.Stop())
	}
	r.row.PlainP50, r.row.PlainP99 = took[0].Quantile(50), took[0].Quantile(99)
	r.row.KeyedP50, r.row.KeyedP99 = took[1].Quantile(50), took[1].Quantile(99)
	return nil
}

// callers send tries until stopped: half of them of new keys, the others of some that were tried lately, most of those at other servers.
func (r *run) callers(ctx context.Context, stop <-chan struct{}) {
	chance := rand.New(rand.NewPCG(r.Seed, 13))
	for n := 0; ctx.Err() == nil; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(chance.ExpFloat64() / r.Rate * float64(time.Second))):
		}
		r.mu.Lock()
		if len(r.keys) == 0 || chance.IntN(2) == 0 {
			r.keys = append(r.keys, &key{name: fmt.Sprintf("%d-%d", r.Seed, len(r.keys))})
		}
		k := r.keys[max(0, len(r.keys)-1-chance.IntN(20))]
		r.mu.Unlock()
		name := r.fleet.Names[chance.IntN(len(r.fleet.Names))]
		r.wait.Go(func() { r.try(ctx, k, name) })
	}
}

// try sends one try and books its answer.
func (r *run) try(ctx context.Context, k *key, name string) {
	id := faultinjection.NewRequestID()
	r.mu.Lock()
	r.where[id] = name
	r.row.Tries++
	r.mu.Unlock()
	began := time.Now()
	switch a := r.fleet.SendRequest(ctx, name, id, k.name, patience, healIn); a.Outcome {
	case faultinjection.Unreachable, faultinjection.ConnectionLost:
		r.book(&r.row.Cut)
	case faultinjection.Unanswered:
		r.book(&r.row.Unanswered)
	default:
		r.answered(k, &a, began)
	}
}

func (r *run) book(count *int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*count++
}

func (r *run) answered(k *key, a *faultinjection.Response, began time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	switch a.Outcome {
	case faultinjection.Finished:
		r.row.Finished++
		if !r.ledger.HasResult(k.name, a.Result) || !k.finished.IsZero() && a.Result != k.result && began.Before(k.finished.Add(window)) {
			r.row.Wrong++
		}
		if k.finished.IsZero() {
			k.finished, k.result = now, a.Result
		}
	case faultinjection.Rejected:
		r.row.Rejected++
	default:
		r.row.Abandoned++
		// A result is promised once a caller had it for a while, as long as most of its holders were not killed since.
		if !k.finished.IsZero() && began.After(k.finished.Add(time.Second)) && now.Before(k.finished.Add(window)) && r.killed(k.finished.Add(-time.Second)) <= r.Copies/2 &&
			!r.hindered(k.finished, now) {
			r.row.Lost++
		}
	}
}

// killed counts the kills since a moment.
func (r *run) killed(since time.Time) (n int) {
	for _, at := range r.kills {
		if at.After(since) {
			n++
		}
	}
	return n
}

// hindered tells whether holders could not all be heard at some time between.
func (r *run) hindered(from, to time.Time) bool {
	return slices.ContainsFunc(r.cuts, func(c cut) bool { return c.from.Before(to) && c.to.After(from) })
}

// stir kills servers, and does other things to them and to the network.
func (r *run) stir(ctx context.Context) {
	chance := rand.New(rand.NewPCG(r.Seed, 17))
	f := r.fleet
	step := time.Duration(r.Seconds / float64(max(1, r.Kills)) * float64(time.Second))
	if r.Kills == 0 {
		step = time.Duration(r.Seconds * float64(time.Second))
	}
	for end := time.Now().Add(time.Duration(r.Seconds * float64(time.Second))); time.Now().Before(end) && ctx.Err() == nil; {
		from := time.Now()
		name, other := f.Names[chance.IntN(len(f.Names))], chance.IntN(6)
		length := time.Duration(300+chance.IntN(1500)) * time.Millisecond
		minority := slices.Clone(f.Names)
		chance.Shuffle(len(minority), func(i, j int) { minority[i], minority[j] = minority[j], minority[i] })
		majority := minority[(len(minority)-1)/2:]
		minority = minority[:(len(minority)-1)/2]
		if !r.Quiet {
			r.disturb(other, name, length, minority, majority)
		}
		for _, s := range f.Servers { // who died at a point comes back
			if !s.Alive() && f.Restart(ctx, s.Name) == nil {
				r.mu.Lock()
				r.kills = append(r.kills, time.Now())
				r.mu.Unlock()
				r.row.Points++
			}
		}
		if r.row.Kills < r.Kills {
			victim := f.Names[chance.IntN(len(f.Names))]
			r.mu.Lock()
			r.kills = append(r.kills, time.Now())
			r.mu.Unlock()
			if f.KillAndRestart(ctx, victim) == nil {
				r.row.Kills++
			}
		}
		if left := step - time.Since(from); left > 0 {
			time.Sleep(left)
		}
	}
	f.Net.Heal()
	for _, name := range f.Names {
		_ = f.Resume(name)
		if !f.Server(name).Alive() {
			_ = f.Restart(ctx, name) // its end is judged by whether the copies agree
		}
	}
}

// disturb does one of some things for a while.
func (r *run) disturb(what int, name string, length time.Duration, minority, majority []string) {
	f := r.fleet
	bad := func(from, to string, l faultinjection.Link) {
		if from != to {
			f.Net.SetLink(from, to, l)
		}
	}
	r.mu.Lock()
	r.cuts = append(r.cuts, cut{from: time.Now(), to: time.Now().Add(length + 2*time.Second)})
	r.mu.Unlock()
	r.row.Faults++
	switch what {
	case 0:
		_ = f.Pause(name)
		defer func() { _ = f.Resume(name) }()
	case 1:
		length += settled
		f.Net.Partition(minority, majority)
		r.mu.Lock()
		r.cuts = append(r.cuts, cut{minority, time.Now(), time.Now().Add(length)})
		r.mu.Unlock()
	case 2: // one way
		for _, from := range f.Names {
			bad(from, name, faultinjection.Link{Cut: true})
		}
	case 3, 4:
		for _, a := range f.Names {
			for _, b := range f.Names {
				bad(a, b, faultinjection.Link{Loss: 0.2, Duplicate: 0.2, Delay: 2 * time.Millisecond, Jitter: 60 * time.Millisecond})
			}
		}
	default:
		r.row.Faults--
	}
	time.Sleep(length)
	f.Net.Heal()
}

// judge waits until all copies agree, and counts what must not be.
func (r *run) judge() {
	from := time.Now()
	healed := faultinjection.WaitUntil(healIn, func() bool { r.row.Differ = r.differ(); return r.row.Differ == 0 })
	if healed {
		r.row.HealMs = 1000 * time.Since(from).Seconds()
	}
	r.row.Keys = len(r.keys)
	r.row.RunsMax, _ = r.ledger.MaxRunsWithin(window)
	for _, c := range r.cuts {
		r.row.MinorityRan += r.ledger.CountRuns(func(id, key string, at time.Time) bool {
			return slices.Contains(c.names, r.where[id]) && at.After(c.from.Add(settled)) && at.Before(c.to) && r.holders(key, c.names) < r.place.Quorum
		})
	}
}

// holders counts those of a key among some servers.
func (r *run) holders(key string, names []string) (n int) {
	for _, i := range r.place.Replicas(state.KeyOf(faultinjection.PingClass, key).Slot()) {
		if slices.Contains(names, r.place.Members[i].Name) {
			n++
		}
	}
	return n
}

// differ counts the slots of all holders that they may not answer for, or know to differ.
func (r *run) differ() (n int) {
	s, err := r.fleet.Status(r.fleet.Names[0])
	if err != nil || len(s.Replicas) < len(r.fleet.Names) {
		return 1
	}
	for _, c := range s.Replicas {
		n += c.CatchingUp + c.OutOfSync
	}
	return n
}
