// Package keyclaims is an experiment on the key claims and the replication of a fleet: processes of
// the real program get attempts of the same keys at different servers while they are killed, paused
// and partitioned by a seed. A run log at their executors counts the runs of each key.
//
// Run owns the processes of an experiment; it may be called by one goroutine at a time.
package keyclaims

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"swiftcourse/internal/bench/faultinjection"
	"swiftcourse/internal/bench/loadgen"
	"swiftcourse/internal/fleet"
	"swiftcourse/internal/policy/replication"
)

// Plan is one experiment.
type Plan struct {
	Program           string
	Servers           int
	ReplicationFactor int
	Kills             int
	Seconds           float64
	Seed              uint64
	KillsOnly         bool    // no other faults
	CrashPoints       bool    // two servers crash at trace points that the seed draws, again and again
	MeasureCost       bool    // measure what claims add to latency, before the faults
	AttemptRate       float64 // attempts a second, over all servers
	Log               io.Writer
}

// Validate returns an error that names the limits if a value is outside of them.
func (p *Plan) Validate() error {
	if p.Servers < 3 || p.Servers > 30 || p.ReplicationFactor < 1 || p.ReplicationFactor > 7 ||
		p.Kills < 0 || p.Kills > 1000 || p.Seconds < 2 || p.Seconds > 600 || p.AttemptRate <= 0 || p.AttemptRate > 500 {
		return fmt.Errorf("--servers %d --copies %d --kills %d --seconds %g --rate %g: "+
			"from 3 to 30, 1 to 7, 0 to 1000, 2 to 600, and over 0 to 500",
			p.Servers, p.ReplicationFactor, p.Kills, p.Seconds, p.AttemptRate)
	}
	return nil
}

// AttemptCounts is what became of the attempts of an experiment.
type AttemptCounts struct {
	Attempts        int `json:"tries"`
	Keys            int `json:"keys"`
	Finished        int `json:"finished"`
	Rejected        int `json:"rejected"`
	Abandoned       int `json:"abandoned"`
	ConnectionsLost int `json:"cut"` // with no answer
	Unanswered      int `json:"unanswered"`
}

// ClaimCost is the latency of requests with and without keys, in microseconds.
type ClaimCost struct {
	UnkeyedP50 float64 `json:"plain_p50_us"` // of requests without a key
	UnkeyedP99 float64 `json:"plain_p99_us"`
	KeyedP50   float64 `json:"keyed_p50_us"`
	KeyedP99   float64 `json:"keyed_p99_us"`
}

// Row is the result of an experiment.
type Row struct {
	Seed             uint64 `json:"seed"`
	Servers          int    `json:"servers"`
	Kills            int    `json:"kills"`
	CrashPointDeaths int    `json:"deaths_at_points"`
	Faults           int    `json:"faults"` // other than kills and crashes
	AttemptCounts
	MaxRunsPerKey  int     `json:"runs_per_key_max"` // within the retention window
	WrongAnswers   int     `json:"wrong_answers"`
	LostResults    int     `json:"results_lost_within_promise"`
	MinorityRuns   int     `json:"minority_ran"`
	SlotsOutOfSync int     `json:"differences_left"`
	HealMillis     float64 `json:"heal_ms"`
	ClaimCost
	GossipBytesPerSecond float64 `json:"talk_bytes_s"` // sent by a server; 0 without relays, which count it
}

// Columns are the heads of the table.
var Columns = []string{
	"seed", "servers", "kills", "points", "faults", "tries", "keys", "finished", "rejected", "abandoned", "cut",
	"unanswered", "runs max", "wrong", "lost", "minority", "differ", "heal ms", "plain p50", "p99 us", "keyed p50",
	"p99 us", "talk B/s",
}

// Cells returns the row for the table.
func (r Row) Cells() []string {
	cells := []string{strconv.FormatUint(r.Seed, 10)}
	for _, count := range []int{
		r.Servers, r.Kills, r.CrashPointDeaths, r.Faults, r.Attempts, r.Keys, r.Finished, r.Rejected, r.Abandoned,
		r.ConnectionsLost, r.Unanswered, r.MaxRunsPerKey, r.WrongAnswers, r.LostResults, r.MinorityRuns,
		r.SlotsOutOfSync,
	} {
		cells = append(cells, strconv.Itoa(count))
	}
	for _, figure := range []float64{
		r.HealMillis, r.UnkeyedP50, r.UnkeyedP99, r.KeyedP50, r.KeyedP99, r.GossipBytesPerSecond,
	} {
		cells = append(cells, fmt.Sprintf("%.0f", figure))
	}
	return cells
}

// Violations counts what breaks an invariant.
func (r Row) Violations() int {
	return max(0, r.MaxRunsPerKey-1) + r.WrongAnswers + r.LostResults + r.MinorityRuns + r.SlotsOutOfSync + r.Unanswered
}

const (
	// retentionWindow is how long keys are kept here: long enough for several attempts of a
	// key, short enough to end within a run.
	retentionWindow = 4 * time.Second
	// callerTimeout is the timeout of an attempt.
	callerTimeout = time.Second
	// healTimeout is how long the fleet has to agree after the last fault, and how long a late
	// answer is waited for.
	healTimeout = 30 * time.Second
	// partitionSettle is how long a partition lasts before the runs behind it count: what was
	// granted before may still begin.
	partitionSettle = callerTimeout + 500*time.Millisecond
	// crashPointServers is the number of draws of servers with crash points, and maxCrashPasses
	// bounds the passes of a point.
	crashPointServers = 2
	maxCrashPasses    = 30
	// crashPointDelay is how many seconds after the retention window crash points count: the first
	// start is not tested.
	crashPointDelay = 6
	// costRounds and costRoundTime are of the measurement of latencies, at costRate requests a
	// second and server.
	costRounds    = 6
	costRoundTime = 2 * time.Second
	costRate      = 60
)

// experiment is one run of a plan.
type experiment struct {
	*Plan
	fleet     *faultinjection.Fleet
	runLog    *faultinjection.RunLog
	placement *replication.Placement
	row       Row
	attempts  sync.WaitGroup

	mu              sync.Mutex
	keys            []*claimedKey
	serverOfAttempt map[string]string // by request ID
	kills           []time.Time
	disturbances    []disturbance
}

// Run runs the plan.
func Run(ctx context.Context, plan *Plan) (Row, error) {
	r := &experiment{
		Plan:            plan,
		runLog:          faultinjection.NewRunLog(),
		serverOfAttempt: map[string]string{},
		row:             Row{Seed: plan.Seed, Servers: plan.Servers},
	}
	if err := r.startFleet(ctx); err != nil {
		return r.row, fmt.Errorf("seed %d: %w", plan.Seed, err)
	}
	defer r.fleet.Close()
	isReady := func() bool { return r.fleet.ReplicasCaughtUp(r.fleet.Names...) }
	if !faultinjection.WaitUntil(healTimeout, isReady) {
		return r.row, fmt.Errorf("seed %d: replicas still catch up after %s", plan.Seed, healTimeout)
	}
	if plan.MeasureCost {
		if err := r.measureCost(ctx); err != nil {
			return r.row, err
		}
	}
	sentBefore := r.fleet.BytesSent()
	from := time.Now()
	r.sendUnderFaults(ctx)
	sent := float64(r.fleet.BytesSent() - sentBefore)
	r.row.GossipBytesPerSecond = sent / time.Since(from).Seconds() / float64(plan.Servers)
	r.verify()
	return r.row, nil
}

// startFleet starts the processes, all of which are replicas.
func (r *experiment) startFleet(ctx context.Context) (err error) {
	shape := faultinjection.SmallShape(r.Program)
	shape.Log = r.Log
	settings := replication.Config{
		ReplicationFactor: r.ReplicationFactor,
		RetentionWindow:   retentionWindow.Seconds(),
		MaxClaimDuration:  shape.Settings.Classes[0].TimeoutMs / 1000,
	}
	names := make([]string, r.Servers)
	for i := range names {
		names[i] = fmt.Sprintf("n%d", i+1)
		settings.Members = append(settings.Members, replication.Member{Name: names[i], Weight: 1})
	}
	if r.placement, err = replication.NewPlacement(settings); err != nil {
		return err
	}
	r.fleet, err = faultinjection.Start(ctx, faultinjection.Config{
		Shape:            shape,
		Servers:          r.Servers,
		Voters:           faultinjection.VoterCount(r.Servers),
		ExtraSettings:    r.replicaSettings(names),
		Seed:             r.Seed,
		RunLog:           r.runLog,
		CrashPointByName: r.drawCrashPoints(names),
		NoRelays:         r.MeasureCost && r.KillsOnly && r.Kills == 0,
	})
	return err
}

// replicaSettings returns the lines of the operator's file about leases and replication.
func (r *experiment) replicaSettings(names []string) string {
	return faultinjection.ShortLeases +
		fmt.Sprintf("replica-holders %s\nreplica-copies %d\nreplica-keyed %s\nreplica-window %s\n",
			strings.Join(names, " "), r.ReplicationFactor, faultinjection.PingClass, retentionWindow)
}

// drawCrashPoints draws where servers crash: each time they have passed a trace point some times.
func (r *experiment) drawCrashPoints(names []string) map[string]string {
	if !r.CrashPoints {
		return nil
	}
	random := rand.New(rand.NewPCG(r.Seed, 19))
	crashPoints := map[string]string{}
	for range crashPointServers {
		point := fleet.TracePoints[random.IntN(len(fleet.TracePoints))]
		name := names[random.IntN(len(names))]
		passes := 1 + random.IntN(maxCrashPasses)
		crashPoints[name] = fmt.Sprintf("%s,%d,%g", point, passes, retentionWindow.Seconds()+crashPointDelay)
	}
	return crashPoints
}

// measureCost measures requests without keys and with them, in turns, at a rate that leaves the
// servers mostly idle.
func (r *experiment) measureCost(ctx context.Context) error {
	var addrs []string
	for _, server := range r.fleet.Servers {
		addrs = append(addrs, server.Addr)
	}
	var unkeyed, keyed loadgen.Stats
	for round := range costRounds {
		isKeyed := round%2 == 1
		load, err := loadgen.Start(ctx, loadgen.Config{
			Addresses:      addrs,
			ConnsPerServer: 2,
			Rate:           costRate * float64(r.Servers),
			Class:          faultinjection.PingClass,
			Timeout:        callerTimeout,
			Keyed:          isKeyed,
			Seed:           r.Seed<<8 + uint64(round),
		})
		if err != nil {
			return err
		}
		time.Sleep(costRoundTime)
		if isKeyed {
			keyed.Merge(load.Stop())
		} else {
			unkeyed.Merge(load.Stop())
		}
	}
	r.row.UnkeyedP50 = unkeyed.Quantile(50)
	r.row.UnkeyedP99 = unkeyed.Quantile(99)
	r.row.KeyedP50 = keyed.Quantile(50)
	r.row.KeyedP99 = keyed.Quantile(99)
	return nil
}

// sendUnderFaults sends attempts while faults are injected, and waits until all attempts have
// ended.
func (r *experiment) sendUnderFaults(ctx context.Context) {
	stop := make(chan struct{})
	go func() {
		defer close(stop)
		r.injectFaults(ctx)
	}()
	r.sendAttempts(ctx, stop)
	<-stop
	r.attempts.Wait()
}
