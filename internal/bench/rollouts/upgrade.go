package rollouts

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"swiftcourse/internal/bench/faultinjection"
	"swiftcourse/internal/bench/report"
	"swiftcourse/internal/policy/release"
	"swiftcourse/internal/wire/simulator"
)

// UpgradePlan is an experiment with two builds in one fleet. All servers start with the old build
// and are upgraded one by one under load; the leader is killed half-way; at the end one server is
// downgraded to the old build. All servers are replicas of claimed keys.
type UpgradePlan struct {
	OldProgram  string
	NewProgram  string
	Servers     int
	Seed        uint64
	RequestRate float64 // requests per second and server
	Log         io.Writer
}

// Validate returns an error with the values and their limits if one is out of range.
func (p *UpgradePlan) Validate() error {
	if p.Servers < 5 || p.Servers > 15 || p.RequestRate <= 0 || p.RequestRate > 150 {
		return fmt.Errorf("--servers %d --rate %g: want servers from 5 to 15, rate over 0 and at most 150",
			p.Servers, p.RequestRate)
	}
	return nil
}

// UpgradeRow is the result of an experiment with two builds.
type UpgradeRow struct {
	Seed          uint64 `json:"seed"`
	Servers       int    `json:"servers"`
	Replacements  int    `json:"replacements"`
	Releases      int    `json:"releases"`
	Sent          int    `json:"sent"`
	Finished      int    `json:"finished"`
	Rejected      int    `json:"rejected"`
	LateAnswers   int    `json:"late_answers"`
	Unanswered    int    `json:"unanswered"`
	RepeatedRuns  int    `json:"repeated_runs"` // at-most-once requests that ran more than once
	Keys          int    `json:"keys"`
	KeysFinished  int    `json:"keys_finished"`
	MaxRunsPerKey int    `json:"runs_per_key_max"`
	WrongAnswers  int    `json:"wrong_answers"` // keys with two different results
	// DecodeErrors is the number of rejected fleet messages, protocol errors and configurations that
	// could not be applied.
	DecodeErrors       int `json:"decode_errors"`
	Panics             int `json:"panics"`
	ConflictingDigests int `json:"epochs_with_two_digests"`
	AuditMismatches    int `json:"audit_mismatches"`
	AuditGaps          int `json:"audit_gaps"`
	Unhealed           int `json:"unhealed"` // servers not on the newest version at the end
}

// Violations returns the number of violated invariants.
func (r UpgradeRow) Violations() int {
	return r.LateAnswers + r.Unanswered + r.RepeatedRuns + max(0, r.MaxRunsPerKey-1) + r.WrongAnswers +
		r.DecodeErrors + r.Panics + r.ConflictingDigests + r.AuditMismatches + r.Unhealed
}

// UpgradeColumns are the column heads of the table.
var UpgradeColumns = []string{
	"seed", "servers", "replaced", "releases", "sent", "finished", "rejected", "late", "unanswered", "run twice",
	"keys", "keys finished", "runs max", "wrong", "decode errors", "panics", "two digests", "audit differs", "gaps",
	"unhealed",
}

// Cells returns the row's table cells, in the order of UpgradeColumns.
func (r UpgradeRow) Cells() []string {
	cells := []string{strconv.FormatUint(r.Seed, 10)}
	for _, count := range []int{
		r.Servers, r.Replacements, r.Releases, r.Sent, r.Finished, r.Rejected, r.LateAnswers, r.Unanswered,
		r.RepeatedRuns, r.Keys, r.KeysFinished, r.MaxRunsPerKey, r.WrongAnswers, r.DecodeErrors, r.Panics,
		r.ConflictingDigests, r.AuditMismatches, r.AuditGaps, r.Unhealed,
	} {
		cells = append(cells, strconv.Itoa(count))
	}
	return cells
}

const (
	// loadClass is the class of the load. Its requests are at-most-once and have no keys.
	loadClass = "pay"
	// keyInterval is the time between two keys. Each key is sent to two servers, one after the
	// other.
	keyInterval = 40 * time.Millisecond
	// keyRetention is how long replicas keep keys: longer than both attempts with a key take. If
	// all replicas start without records, they wait that long before they answer.
	keyRetention = 10 * time.Second
	// keyTimeout is the timeout of an attempt with a key.
	keyTimeout = time.Second
	// keyAnswerGrace is how long after its timeout an attempt still waits for an answer.
	keyAnswerGrace = 5 * time.Second
	// stepTimeout is how long the fleet may take to settle after a step.
	stepTimeout = 30 * time.Second
	// A replaced server counts as serving when it has finished a request within the latest
	// servingWindow.
	servingWindow = time.Second
	// upgradeDescriptors is the file descriptor limit of a server. It allows for one connection per
	// attempt with a key.
	upgradeDescriptors = 1024
	// keyStream is the random stream from which the servers of keys are drawn.
	keyStream = 17
)

// upgradeExperiment is one run of an UpgradePlan.
type upgradeExperiment struct {
	*UpgradePlan
	fleet  *faultinjection.Fleet
	runLog *faultinjection.RunLog
	load   *faultinjection.Load
	row    UpgradeRow

	mu   sync.Mutex // guards Keys, KeysFinished and WrongAnswers of the row
	keys sync.WaitGroup
}

// RunUpgrade runs an UpgradePlan and returns its result.
func RunUpgrade(ctx context.Context, plan *UpgradePlan) (UpgradeRow, error) {
	e := &upgradeExperiment{
		UpgradePlan: plan,
		runLog:      faultinjection.NewRunLog(),
		row:         UpgradeRow{Seed: plan.Seed, Servers: plan.Servers},
	}
	if err := e.run(ctx); err != nil {
		return e.row, fmt.Errorf("seed %d: %w", plan.Seed, err)
	}
	return e.row, nil
}

func (e *upgradeExperiment) run(ctx context.Context) error {
	if err := e.start(ctx); err != nil {
		return err
	}
	defer e.fleet.Close()
	if err := e.settle("start of all servers with the old build"); err != nil {
		return err
	}
	loadContext, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	e.load = e.fleet.StartLoad(loadContext, "")
	e.load.Classes = []string{loadClass}
	e.load.SetRate(e.RequestRate, e.fleet.Names...)
	stopKeys := make(chan struct{})
	e.keys.Go(func() { e.sendKeys(ctx, stopKeys) })
	err := e.replaceAll(ctx)
	close(stopKeys)
	e.keys.Wait()
	e.load.SetRate(0, e.fleet.Names...)
	faultinjection.WaitUntil(stepTimeout, func() bool { return e.load.UnansweredCount() == 0 })
	stopLoad()
	e.load.Wait()
	if err != nil {
		return err
	}
	return e.verify()
}

// start starts all servers with the old build.
func (e *upgradeExperiment) start(ctx context.Context) (err error) {
	processConfig := faultinjection.SmallProcessConfig(e.OldProgram)
	processConfig.Log = e.Log
	processConfig.Descriptors = upgradeDescriptors
	processConfig.Settings.Classes = append(processConfig.Settings.Classes, simulator.Class{
		Name:           loadClass,
		Idempotency:    "at_most_once",
		TimeoutMs:      2000,
		SoftDeadlineMs: 1000,
		Value:          1,
		LateValue:      0.5,
	})
	replicaNames := ""
	for i := range e.Servers {
		replicaNames += fmt.Sprintf(" n%d", i+1)
	}
	e.fleet, err = faultinjection.Start(ctx, faultinjection.Config{
		ProcessConfig: processConfig,
		Servers:       e.Servers,
		Voters:        faultinjection.VoterCount(e.Servers),
		Seed:          e.Seed,
		RunLog:        e.runLog,
		ExtraSettings: shortLeases + "fleet-counts on\nreplica-callers on\n" +
			fmt.Sprintf("replica-holders%s\nreplica-keyed %s\nreplica-window %s\n",
				replicaNames, faultinjection.PingClass, keyRetention),
	})
	return err
}

// replaceAll upgrades the servers one by one, kills the leader half-way, and downgrades the first
// server at the end. It releases a version after each step.
func (e *upgradeExperiment) replaceAll(ctx context.Context) error {
	for i, name := range e.fleet.Names {
		if err := e.replace(ctx, name, e.NewProgram); err != nil {
			return err
		}
		if i != len(e.fleet.Names)/2 {
			continue
		}
		if err := e.killLeader(ctx); err != nil {
			return err
		}
	}
	return e.replace(ctx, e.fleet.Names[0], e.OldProgram)
}

// replace restarts a server with another binary, and releases a version once the fleet has settled.
func (e *upgradeExperiment) replace(ctx context.Context, name, program string) error {
	if err := e.fleet.Replace(ctx, name, program); err != nil {
		return err
	}
	e.row.Replacements++
	if err := e.settle("replacement of " + name); err != nil {
		return err
	}
	isServing := func() bool { return e.load.Rate(name, servingWindow) > 0 }
	if !faultinjection.WaitUntil(stepTimeout, isServing) {
		return fmt.Errorf("%s finished no request within %s of its replacement", name, stepTimeout)
	}
	return e.release(name)
}

// killLeader kills the leader and restarts it with its present build.
func (e *upgradeExperiment) killLeader(ctx context.Context) error {
	elected := e.fleet.Events("", faultinjection.EventLeaderElected)
	if len(elected) == 0 {
		return fmt.Errorf("no server has logged %s, want a leader to kill", faultinjection.EventLeaderElected)
	}
	leader := elected[len(elected)-1].Name
	if err := e.fleet.KillAndRestart(ctx, leader); err != nil {
		return err
	}
	if err := e.settle("kill of leader " + leader); err != nil {
		return err
	}
	return e.release(leader)
}

// settle waits until all servers have applied a version and all replicas have caught up. The error
// names the step after which this failed.
func (e *upgradeExperiment) settle(step string) error {
	isSettled := func() bool {
		return e.fleet.AllActiveOn(1, e.fleet.Names...) && e.fleet.ReplicasCaughtUp(e.fleet.Names...)
	}
	if !faultinjection.WaitUntil(stepTimeout, isSettled) {
		return fmt.Errorf("after %s: not all servers applied a version and caught up within %s", step, stepTimeout)
	}
	return nil
}

// release submits a release at a server until it is accepted, and waits until all servers have
// applied it.
func (e *upgradeExperiment) release(author string) error {
	var epoch release.Epoch
	var err error
	text := fmt.Sprintf("door-come-back %dms\n", 200+e.row.Releases)
	isAccepted := func() bool {
		epoch, err = e.fleet.Release(author, text)
		return err == nil
	}
	if !faultinjection.WaitUntil(stepTimeout, isAccepted) {
		return fmt.Errorf("release at %s not accepted within %s: %w", author, stepTimeout, err)
	}
	e.row.Releases++
	isActive := func() bool { return e.fleet.AllActiveOn(epoch, e.fleet.Names...) }
	if !faultinjection.WaitUntil(stepTimeout, isActive) {
		return fmt.Errorf("not all servers applied epoch %s within %s", epoch, stepTimeout)
	}
	return nil
}

// sendKeys sends a new key every keyInterval until stop is closed, each to two random servers.
func (e *upgradeExperiment) sendKeys(ctx context.Context, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(e.Seed, keyStream))
	for n := 0; ctx.Err() == nil; n++ {
		select {
		case <-stop:
			return
		case <-time.After(keyInterval):
		}
		key := fmt.Sprintf("key-%d-%d", e.Seed, n)
		first := e.fleet.Names[random.IntN(len(e.fleet.Names))]
		second := e.fleet.Names[random.IntN(len(e.fleet.Names))]
		e.keys.Go(func() { e.sendKey(ctx, key, first, second) })
	}
}

// sendKey sends an attempt with the key to one server and then to another. If both finish, both
// must return the result of the key's only run.
func (e *upgradeExperiment) sendKey(ctx context.Context, key, first, second string) {
	results := map[string]bool{}
	for _, name := range []string{first, second} {
		response := e.fleet.SendRequest(ctx, faultinjection.Attempt{
			Server:      name,
			ID:          faultinjection.NewRequestID(),
			Key:         key,
			Timeout:     keyTimeout,
			AnswerGrace: keyAnswerGrace,
		})
		if response.Outcome == faultinjection.Finished {
			results[response.Result] = true
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.row.Keys++
	if len(results) > 0 {
		e.row.KeysFinished++
	}
	e.row.WrongAnswers += max(0, len(results)-1)
}

// verify counts the violated invariants, and compares the audit with the logs.
func (e *upgradeExperiment) verify() error {
	e.row.Sent, e.row.Finished, e.row.Rejected = e.load.Counts()
	e.row.LateAnswers = e.load.LateCount()
	e.row.Unanswered = e.load.UnansweredCount()
	e.row.RepeatedRuns = e.runLog.CountRepeated(loadClass)
	e.row.MaxRunsPerKey, _ = e.runLog.MaxRunsWithin(keyRetention)
	for _, event := range []string{
		faultinjection.EventMessageRejected,
		faultinjection.EventProtocolError,
		faultinjection.EventConfigApplyFailed,
	} {
		e.row.DecodeErrors += len(e.fleet.Events("", event))
	}
	for _, event := range []string{faultinjection.EventFleetAgentPanic, faultinjection.EventPanic} {
		e.row.Panics += len(e.fleet.Events("", event))
	}
	e.row.ConflictingDigests = len(e.fleet.ConflictingDigestEpochs())
	audited := &experiment{
		Plan:        &Plan{Servers: e.Servers, Seed: e.Seed},
		fleet:       e.fleet,
		serverNames: e.fleet.Names,
		row:         Row{RolloutCounts: report.RolloutCounts{Seed: e.Seed, Servers: e.Servers}},
	}
	if err := audited.waitHealed(); err != nil {
		return err
	}
	e.row.Unhealed = audited.row.Unhealed
	lastServer := e.fleet.Names[len(e.fleet.Names)-1]
	status, err := e.fleet.Status(lastServer)
	if err != nil {
		return fmt.Errorf("status of %s: %w", lastServer, err)
	}
	e.row.AuditMismatches, e.row.AuditGaps = audited.compareAuditWithLogs(status)
	return nil
}
