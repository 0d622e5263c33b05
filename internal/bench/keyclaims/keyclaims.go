// Package keyclaims tests key claims and replication with a fleet of real processes: attempts with
// the same key are sent to different servers while faults drawn from a seed kill, pause and
// partition the servers. A run log kept by the fake executors counts the runs of each key.
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
	KillsOnly         bool    // inject no faults other than kills
	CrashPoints       bool    // two servers repeatedly crash at trace points drawn from the seed
	MeasureCost       bool    // before the faults, measure the latency that claims add
	AttemptRate       float64 // attempts per second, over all servers
	Log               io.Writer
}

// Validate returns an error with the values and their limits if one is out of range.
func (p *Plan) Validate() error {
	if p.Servers < 3 || p.Servers > 30 || p.ReplicationFactor < 1 || p.ReplicationFactor > 7 ||
		p.Kills < 0 || p.Kills > 1000 || p.Seconds < 2 || p.Seconds > 600 || p.AttemptRate <= 0 || p.AttemptRate > 500 {
		return fmt.Errorf("--servers %d --copies %d --kills %d --seconds %g --rate %g: "+
			"want servers from 3 to 30, copies from 1 to 7, kills from 0 to 1000, "+
			"seconds from 2 to 600, rate over 0 and at most 500",
			p.Servers, p.ReplicationFactor, p.Kills, p.Seconds, p.AttemptRate)
	}
	return nil
}

// AttemptCounts counts the attempts of an experiment by outcome.
type AttemptCounts struct {
	Attempts        int `json:"tries"`
	Keys            int `json:"keys"`
	Finished        int `json:"finished"`
	Rejected        int `json:"rejected"`
	Abandoned       int `json:"abandoned"`
	ConnectionsLost int `json:"cut"` // the connection could not be opened, or closed before an answer
	Unanswered      int `json:"unanswered"`
}

// ClaimCost is the latency of requests with and without keys, in microseconds.
type ClaimCost struct {
	UnkeyedP50 float64 `json:"plain_p50_us"` // requests without a key
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
	MaxRunsPerKey  int     `json:"runs_per_key_max"` // most runs of one key within the retention window
	WrongAnswers   int     `json:"wrong_answers"`
	LostResults    int     `json:"results_lost_within_promise"`
	MinorityRuns   int     `json:"minority_ran"`
	SlotsOutOfSync int     `json:"differences_left"`
	HealMillis     float64 `json:"heal_ms"`
	ClaimCost
	GossipBytesPerSecond float64 `json:"talk_bytes_s"` // sent per server; 0 without relays, which count the bytes
}

// Columns are the column heads of the table.
var Columns = []string{
	"seed", "servers", "kills", "points", "faults", "tries", "keys", "finished", "rejected", "abandoned", "cut",
	"unanswered", "runs max", "wrong", "lost", "minority", "differ", "heal ms", "plain p50", "p99 us", "keyed p50",
	"p99 us", "talk B/s",
}

// Cells returns the row's table cells, in the order of Columns.
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

// Violations returns the number of violated invariants.
func (r Row) Violations() int {
	return max(0, r.MaxRunsPerKey-1) + r.WrongAnswers + r.LostResults + r.MinorityRuns + r.SlotsOutOfSync + r.Unanswered
}

const (
	// retentionWindow is how long replicas keep keys: long enough for several attempts with a key,
	// short enough to end within an experiment.
	retentionWindow = 4 * time.Second
	// callerTimeout is the timeout of an attempt.
	callerTimeout = time.Second
	// healTimeout is how long replicas may take to agree after the last fault, and how long after
	// its timeout an attempt still waits for an answer.
	healTimeout = 30 * time.Second
	// partitionSettle is how long a partition must have lasted before runs in its minority count as
	// violations: runs granted before the partition may still start.
	partitionSettle = callerTimeout + 500*time.Millisecond
	// crashPointServers is how many times a server with a crash point is drawn, and maxCrashPasses
	// is the maximum number of passes of the point until the crash.
	crashPointServers = 2
	maxCrashPasses    = 30
	// crashPointDelaySeconds is how many seconds after the retention window the crash points become
	// active. Before that the servers start for the first time, which is not tested.
	crashPointDelaySeconds = 6
	// costRounds is the number of rounds of the latency measurement, costRoundTime the duration of
	// a round, and costRequestRate the requests per second and server.
	costRounds      = 6
	costRoundTime   = 2 * time.Second
	costRequestRate = 60
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

// Run runs the experiment and returns its result.
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
		return r.row, fmt.Errorf("seed %d: not all replicas caught up within %s", plan.Seed, healTimeout)
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

// startFleet starts the servers, all of which are replicas.
func (r *experiment) startFleet(ctx context.Context) (err error) {
	processConfig := faultinjection.SmallProcessConfig(r.Program)
	processConfig.Log = r.Log
	settings := replication.Config{
		ReplicationFactor: r.ReplicationFactor,
		RetentionWindow:   retentionWindow.Seconds(),
		MaxClaimDuration:  processConfig.Settings.Classes[0].TimeoutMs / 1000,
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
		ProcessConfig:    processConfig,
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

// replicaSettings returns the lease and replication settings of the operator's file.
func (r *experiment) replicaSettings(names []string) string {
	return faultinjection.ShortLeases +
		fmt.Sprintf("replica-holders %s\nreplica-copies %d\nreplica-keyed %s\nreplica-window %s\n",
			strings.Join(names, " "), r.ReplicationFactor, faultinjection.PingClass, retentionWindow)
}

// drawCrashPoints draws trace points by server name. A server crashes each time it has passed its
// trace point a drawn number of times.
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
		crashPoints[name] = fmt.Sprintf("%s,%d,%g", point, passes, retentionWindow.Seconds()+crashPointDelaySeconds)
	}
	return crashPoints
}

// measureCost measures the latency of requests without and with keys in alternating rounds, at a
// rate that leaves the servers mostly idle.
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
			Rate:           costRequestRate * float64(r.Servers),
			Class:          faultinjection.PingClass,
			Timeout:        callerTimeout,
			UniqueKeys:     isKeyed,
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
