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
	Program           string
	Servers           int
	ReplicationFactor int
	Kills             int
	Seconds           float64
	Seed              uint64
	KillsOnly         bool    // nothing but kills
	CrashPoints       bool    // two servers die at points of claims and copies that the seed draws, again and again
	MeasureCost       bool    // measure what claims add to latency, before anything goes wrong
	AttemptRate       float64 // tries a second, over all servers
	Log               io.Writer
}

// Validate tells what is wrong with a plan.
func (p *Plan) Validate() error {
	if p.Servers < 3 || p.Servers > 30 || p.ReplicationFactor < 1 || p.ReplicationFactor > 7 || p.Kills < 0 || p.Kills > 1000 || p.Seconds < 2 || p.Seconds > 600 || p.AttemptRate <= 0 || p.AttemptRate > 500 {
		return fmt.Errorf("--servers %d --copies %d --kills %d --seconds %g --rate %g: from 3 to 30, 1 to 7, 0 to 1000, 2 to 600, and over 0 to 500",
			p.Servers, p.ReplicationFactor, p.Kills, p.Seconds, p.AttemptRate)
	}
	return nil
}

// Row is what a run came to.
type Row struct {
	Seed                 uint64  `json:"seed"`
	Servers              int     `json:"servers"`
	Kills                int     `json:"kills"`
	CrashPointDeaths     int     `json:"deaths_at_points"`
	Faults               int     `json:"faults"` // beside them
	Attempts             int     `json:"tries"`
	Keys                 int     `json:"keys"`
	Finished             int     `json:"finished"`
	Rejected             int     `json:"rejected"`
	Abandoned            int     `json:"abandoned"`
	ConnectionsLost      int     `json:"cut"` // the server went with it
	Unanswered           int     `json:"unanswered"`
	MaxRunsPerKey        int     `json:"runs_per_key_max"` // within the window
	WrongAnswers         int     `json:"wrong_answers"`
	LostResults          int     `json:"results_lost_within_promise"`
	MinorityRuns         int     `json:"minority_ran"`
	SlotsOutOfSync       int     `json:"differences_left"`
	HealMillis           float64 `json:"heal_ms"`
	UnkeyedP50           float64 `json:"plain_p50_us"` // of tasks without a key
	UnkeyedP99           float64 `json:"plain_p99_us"`
	KeyedP50             float64 `json:"keyed_p50_us"`
	KeyedP99             float64 `json:"keyed_p99_us"`
	GossipBytesPerSecond float64 `json:"talk_bytes_s"` // that a server sends; 0 where there are no relays to count it
}

// Columns and Cells are those of the table.
var Columns = []string{"seed", "servers", "kills", "points", "faults", "tries", "keys", "finished", "rejected", "abandoned", "cut", "unanswered", "runs max", "wrong", "lost",
	"minority", "differ", "heal ms", "plain p50", "p99 us", "keyed p50", "p99 us", "talk B/s"}

// Cells are a row's in the table.
func (r Row) Cells() []string {
	return strings.Fields(fmt.Sprintf("%d %d %d %d %d %d %d %d %d %d %d %d %d %d %d %d %d %.0f %.0f %.0f %.0f %.0f %.0f", r.Seed, r.Servers, r.Kills, r.CrashPointDeaths, r.Faults, r.Attempts,
		r.Keys, r.Finished, r.Rejected, r.Abandoned, r.ConnectionsLost, r.Unanswered, r.MaxRunsPerKey, r.WrongAnswers, r.LostResults, r.MinorityRuns, r.SlotsOutOfSync, r.HealMillis, r.UnkeyedP50, r.UnkeyedP99,
		r.KeyedP50, r.KeyedP99, r.GossipBytesPerSecond))
}

// Violations counts what must not be.
func (r Row) Violations() int {
	return max(0, r.MaxRunsPerKey-1) + r.WrongAnswers + r.LostResults + r.MinorityRuns + r.SlotsOutOfSync + r.Unanswered
}

const (
	// retentionWindow is how long keys are kept here: long enough that a key is tried again some times, short enough that it ends within a run.
	retentionWindow = 4 * time.Second
	// callerTimeout of a caller.
	callerTimeout = time.Second
	// healTimeout is how long the fleet has to agree after the last fault: twice what a holder that nobody can tell waits.
	healTimeout = 30 * time.Second
	// partitionSettle is how long a cut stands before what runs behind it counts: what was granted before may still begin.
	partitionSettle = callerTimeout + 500*time.Millisecond
)

// experiment is a run under way.
type experiment struct {
	*Plan
	fleet     *faultinjection.Fleet
	runLog    *faultinjection.RunLog
	placement *replication.Placement
	row       Row
	attempts  sync.WaitGroup

	mu              sync.Mutex
	keys            []*claimedKey
	serverOfAttempt map[string]string // the server that each try went to
	kills           []time.Time
	partitions      []partition
}

// claimedKey is what callers know of one.
type claimedKey struct {
	name       string
	finishedAt time.Time // when one was first told a result; zero for never
	result     string
}

// partition is a minority that was cut off both ways, from when to when.
type partition struct {
	names    []string
	from, to time.Time
}

// Run plays a seed.
func Run(ctx context.Context, p *Plan) (Row, error) {
	r := &experiment{Plan: p, runLog: faultinjection.NewRunLog(), serverOfAttempt: map[string]string{}, row: Row{Seed: p.Seed, Servers: p.Servers}}
	shape := faultinjection.SmallShape(p.Program)
	terms := replication.Config{ReplicationFactor: p.ReplicationFactor, RetentionWindow: retentionWindow.Seconds(), MaxClaimDuration: shape.Settings.Classes[0].TimeoutMs / 1000}
	shape.Log = p.Log
	names := make([]string, p.Servers)
	for i := range names {
		names[i] = fmt.Sprintf("n%d", i+1)
		terms.Members = append(terms.Members, replication.Member{Name: names[i], Weight: 1})
	}
	var err error
	if r.placement, err = replication.NewPlacement(terms); err != nil {
		return r.row, err
	}
	conf := fmt.Sprintf("door on\nfleet-lease 2s\nfleet-behind 2s\nreplica-holders %s\nreplica-copies %d\nreplica-keyed %s\nreplica-window %s\n",
		strings.Join(names, " "), p.ReplicationFactor, faultinjection.PingClass, retentionWindow)
	f, err := faultinjection.Start(ctx, faultinjection.Config{Shape: shape, Servers: p.Servers, Voters: min(p.Servers, 3+2*(p.Servers/15)), ExtraSettings: conf, Seed: p.Seed, RunLog: r.runLog, CrashPointByName: r.drawCrashPoints(names),
		NoRelays: p.MeasureCost && p.KillsOnly && p.Kills == 0})
	if err != nil {
		return r.row, fmt.Errorf("seed %d: %w", p.Seed, err)
	}
	defer f.Close()
	r.fleet = f
	if !faultinjection.WaitUntil(healTimeout, func() bool { return f.ReplicasCaughtUp(names...) }) {
		return r.row, fmt.Errorf("seed %d: holders may not answer after %s", p.Seed, healTimeout)
	}
	if p.MeasureCost {
		if err := r.measureCost(ctx); err != nil {
			return r.row, err
		}
	}
	sent, from := r.fleet.BytesSent(), time.Now()
	stop, stirred := make(chan struct{}), make(chan struct{})
	go func() { defer close(stirred); r.injectFaults(ctx); close(stop) }()
	r.sendAttempts(ctx, stop)
	<-stirred
	r.attempts.Wait()
	r.row.GossipBytesPerSecond = float64(r.fleet.BytesSent()-sent) / time.Since(from).Seconds() / float64(p.Servers)
	r.verify()
	return r.row, nil
}

// drawCrashPoints draws where two servers die: each time they have passed a point some times, from the end of the first start on.
func (r *experiment) drawCrashPoints(names []string) map[string]string {
	if !r.CrashPoints {
		return nil
	}
	chance := rand.New(rand.NewPCG(r.Seed, 19))
	die := map[string]string{}
	for range 2 {
		point := fleet.TracePoints[chance.IntN(len(fleet.TracePoints))]
		die[names[chance.IntN(len(names))]] = fmt.Sprintf("%s,%d,%g", point, 1+chance.IntN(30), retentionWindow.Seconds()+6)
	}
	return die
}

// measureCost measures tasks without keys and with them, in turns, at a rate that leaves the servers mostly idle.
func (r *experiment) measureCost(ctx context.Context) error {
	var addrs []string
	for _, s := range r.fleet.Servers {
		addrs = append(addrs, s.Addr)
	}
	var took [2]loadgen.Stats
	for round := range 6 {
		l, err := loadgen.Start(ctx, loadgen.Config{Addresses: addrs, ConnsPerServer: 2, Rate: 60 * float64(r.Servers), Class: faultinjection.PingClass, Timeout: callerTimeout, Keyed: round%2 == 1,
			Seed: r.Seed<<8 + uint64(round)})
		if err != nil {
			return err
		}
		time.Sleep(2 * time.Second)
		took[round%2].Merge(l.Stop())
	}
	r.row.UnkeyedP50, r.row.UnkeyedP99 = took[0].Quantile(50), took[0].Quantile(99)
	r.row.KeyedP50, r.row.KeyedP99 = took[1].Quantile(50), took[1].Quantile(99)
	return nil
}

// sendAttempts send tries until stopped: half of them of new keys, the others of some that were tried lately, most of those at other servers.
func (r *experiment) sendAttempts(ctx context.Context, stop <-chan struct{}) {
	chance := rand.New(rand.NewPCG(r.Seed, 13))
	for n := 0; ctx.Err() == nil; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(chance.ExpFloat64() / r.AttemptRate * float64(time.Second))):
		}
		r.mu.Lock()
		if len(r.keys) == 0 || chance.IntN(2) == 0 {
			r.keys = append(r.keys, &claimedKey{name: fmt.Sprintf("%d-%d", r.Seed, len(r.keys))})
		}
		k := r.keys[max(0, len(r.keys)-1-chance.IntN(20))]
		r.mu.Unlock()
		name := r.fleet.Names[chance.IntN(len(r.fleet.Names))]
		r.attempts.Go(func() { r.sendAttempt(ctx, k, name) })
	}
}

// sendAttempt sends one try and books its answer.
func (r *experiment) sendAttempt(ctx context.Context, k *claimedKey, name string) {
	id := faultinjection.NewRequestID()
	r.mu.Lock()
	r.serverOfAttempt[id] = name
	r.row.Attempts++
	r.mu.Unlock()
	began := time.Now()
	attempt := faultinjection.Attempt{Server: name, ID: id, Key: k.name, Timeout: callerTimeout, Patience: healTimeout}
	switch a := r.fleet.SendRequest(ctx, attempt); a.Outcome {
	case faultinjection.Unreachable, faultinjection.ConnectionLost:
		r.increment(&r.row.ConnectionsLost)
	case faultinjection.Unanswered:
		r.increment(&r.row.Unanswered)
	default:
		r.recordResponse(k, &a, began)
	}
}

func (r *experiment) increment(count *int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*count++
}

func (r *experiment) recordResponse(k *claimedKey, a *faultinjection.Response, began time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	switch a.Outcome {
	case faultinjection.Finished:
		r.row.Finished++
		if !r.runLog.HasResult(k.name, a.Result) || !k.finishedAt.IsZero() && a.Result != k.result && began.Before(k.finishedAt.Add(retentionWindow)) {
			r.row.WrongAnswers++
		}
		if k.finishedAt.IsZero() {
			k.finishedAt, k.result = now, a.Result
		}
	case faultinjection.Rejected:
		r.row.Rejected++
	default:
		r.row.Abandoned++
		// A result is promised once a caller had it for a while, as long as most of its holders were not killed since.
		if !k.finishedAt.IsZero() && began.After(k.finishedAt.Add(time.Second)) && now.Before(k.finishedAt.Add(retentionWindow)) && r.killsSince(k.finishedAt.Add(-time.Second)) <= r.ReplicationFactor/2 &&
			!r.wasPartitioned(k.finishedAt, now) {
			r.row.LostResults++
		}
	}
}

// killsSince counts the kills since a moment.
func (r *experiment) killsSince(since time.Time) (n int) {
	for _, at := range r.kills {
		if at.After(since) {
			n++
		}
	}
	return n
}

// wasPartitioned tells whether holders could not all be heard at some time between.
func (r *experiment) wasPartitioned(from, to time.Time) bool {
	return slices.ContainsFunc(r.partitions, func(c partition) bool { return c.from.Before(to) && c.to.After(from) })
}

// injectFaults kills servers, and does other things to them and to the network.
func (r *experiment) injectFaults(ctx context.Context) {
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
		if !r.KillsOnly {
			r.disturbNetwork(other, name, length, minority, majority)
		}
		for _, s := range f.Servers { // who died at a point comes back
			if !s.Alive() && f.Restart(ctx, s.Name) == nil {
				r.mu.Lock()
				r.kills = append(r.kills, time.Now())
				r.mu.Unlock()
				r.row.CrashPointDeaths++
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

// disturbNetwork does one of some things for a while.
func (r *experiment) disturbNetwork(what int, name string, length time.Duration, minority, majority []string) {
	f := r.fleet
	bad := func(from, to string, l faultinjection.Link) {
		if from != to {
			f.Net.SetLink(from, to, l)
		}
	}
	r.mu.Lock()
	r.partitions = append(r.partitions, partition{from: time.Now(), to: time.Now().Add(length + 2*time.Second)})
	r.mu.Unlock()
	r.row.Faults++
	switch what {
	case 0:
		_ = f.Pause(name)
		defer func() { _ = f.Resume(name) }()
	case 1:
		length += partitionSettle
		f.Net.Partition(minority, majority)
		r.mu.Lock()
		r.partitions = append(r.partitions, partition{minority, time.Now(), time.Now().Add(length)})
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

// verify waits until all copies agree, and counts what must not be.
func (r *experiment) verify() {
	from := time.Now()
	healed := faultinjection.WaitUntil(healTimeout, func() bool { r.row.SlotsOutOfSync = r.slotsOutOfSync(); return r.row.SlotsOutOfSync == 0 })
	if healed {
		r.row.HealMillis = 1000 * time.Since(from).Seconds()
	}
	r.row.Keys = len(r.keys)
	r.row.MaxRunsPerKey, _ = r.runLog.MaxRunsWithin(retentionWindow)
	for _, c := range r.partitions {
		r.row.MinorityRuns += r.runLog.CountRuns(func(id, key string, at time.Time) bool {
			return slices.Contains(c.names, r.serverOfAttempt[id]) && at.After(c.from.Add(partitionSettle)) && at.Before(c.to) && r.replicasAmong(key, c.names) < r.placement.Quorum
		})
	}
}

// replicasAmong counts those of a key among some servers.
func (r *experiment) replicasAmong(key string, names []string) (n int) {
	for _, i := range r.placement.Replicas(state.KeyOf(faultinjection.PingClass, key).Slot()) {
		if slices.Contains(names, r.placement.Members[i].Name) {
			n++
		}
	}
	return n
}

// slotsOutOfSync counts the slots of all holders that they may not answer for, or know to differ.
func (r *experiment) slotsOutOfSync() (n int) {
	s, err := r.fleet.Status(r.fleet.Names[0])
	if err != nil || len(s.Replicas) < len(r.fleet.Names) {
		return 1
	}
	for _, c := range s.Replicas {
		n += c.CatchingUp + c.OutOfSync
	}
	return n
}
