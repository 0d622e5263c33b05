package faultinjection

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"swiftcourse/internal/bench/process"
	"swiftcourse/internal/fake/upstream"
	"swiftcourse/internal/fleet"
	"swiftcourse/internal/policy/release"
	"swiftcourse/internal/wire/catalogue"
	"swiftcourse/internal/wire/simulator"
)

// Config is how a fleet of processes is to be.
type Config struct {
	Shape               process.Config
	Servers             int
	Voters              int
	ExtraSettings       string            // more lines of every operator's file
	ExtraSettingsByName map[string]string // more lines of one
	ClockByName         map[string]string // SWIFTCOURSE_TEST_CLOCK of one
	BuildByName         map[string]string // SWIFTCOURSE_BUILD of one
	Seed                uint64
	RunLog              *RunLog            // of the processors; nil for none
	RunSeconds          float64            // seconds that a task takes; 0 as the shape says
	CrashPointByName    map[string]string  // SWIFTCOURSE_TEST_DIE of one: POINT,N and after S seconds, POINT,N,S kills it when it passes that point of its claims or copies for the Nth time
	NoRelays            bool               // no relays: for what is measured in fractions of a millisecond
	FleetDisabled       bool               // the fleet's parts are off
	Tenants             []simulator.Tenant // who share the service; none for a service without tenants

	// Planners and Forwarders, if there are any, are the processes of this fleet in place of servers: p1 and on, who are the voters, and f1 and on. Workers
	// are then servers of no fleet behind the forwarders, in the shape of Worker.
	Planners, Forwarders, Workers int
	WorkerShape                   process.Config

	// CallOutcome has each task make a call below, and says what becomes of the nth of a server; nil for no calls.
	CallOutcome func(name string, n int, c catalogue.Call) upstream.Response
}

// LogEvent is what a server said it did, by its log, with the time at which this process read it: an account apart from the program's own.
type LogEvent struct {
	Name   string
	Time   time.Time
	Event  string
	Fields map[string]string
}

// Fleet is processes of the real program with relays between them.
type Fleet struct {
	Config
	Net           *Network
	Servers       []*process.Server
	WorkerServers []*process.Server // workers
	Names         []string
	host          string
	portsUsed     int
	controlAddrs  map[string]string
	gossipAddrs   map[string]string
	relayRoutes   map[string]string
	mu            sync.Mutex
	events        []LogEvent
	firstEvent    map[string]int // of a process that was started again: where in said its present life begins
}

// Start starts a fleet and waits until every process serves.
func Start(ctx context.Context, p Config) (*Fleet, error) {
	f := &Fleet{Config: p, Net: NewNet(p.Seed), host: nextHost(), controlAddrs: map[string]string{}, gossipAddrs: map[string]string{}, relayRoutes: map[string]string{},
		firstEvent: map[string]int{}}
	for i := range p.Servers {
		f.Names = append(f.Names, fmt.Sprintf("n%d", i+1))
	}
	for i := range p.Planners {
		f.Names = append(f.Names, fmt.Sprintf("p%d", i+1))
	}
	for i := range p.Forwarders {
		f.Names = append(f.Names, fmt.Sprintf("f%d", i+1))
	}
	if p.Planners > 0 {
		f.Voters = p.Planners
	}
	for _, name := range f.Names {
		f.gossipAddrs[name], f.controlAddrs[name] = f.nextAddr(), f.nextAddr()
	}
	for _, from := range f.Names {
		var ways []string
		for _, to := range f.Names {
			if from == to || p.NoRelays {
				continue
			}
			relay, err := f.Net.AddRelay(from, to, f.gossipAddrs[to])
			if err != nil {
				return nil, err
			}
			ways = append(ways, f.gossipAddrs[to]+"="+relay)
		}
		f.relayRoutes[from] = strings.Join(ways, ",")
	}
	f.Shape.Override, f.Shape.OnLogLine = f.processSettings, f.recordLine
	f.Shape.Settings.Tenants = p.Tenants
	if p.CallOutcome != nil {
		f.Shape.UpstreamOf = p.CallOutcome
		f.Shape.Executor.CallsUpstream, f.Shape.Executor.CallTimeout = func(string, string) bool { return true }, loadTimeoutSeconds
		own := &f.Shape.Settings.Deployment
		own.Downstream, own.ClassCalls, own.AbandonedCallMs = "tier", []bool{true}, 300
	}
	if l := p.RunLog; l != nil {
		f.Shape.Executor.OnStart, f.Shape.Executor.Result = l.RecordStart, l.RecordResult
	}
	if p.RunSeconds > 0 {
		f.Shape.Executor.CPUSeconds = func(string, string) float64 { return p.RunSeconds }
	}
	if p.Forwarders > 0 {
		return f, f.startTwoLevels(ctx)
	}
	servers, err := process.Start(ctx, p.Servers, f.Shape)
	if err != nil {
		f.Net.Close()
		return nil, err
	}
	f.Servers = servers
	return f, nil
}

// startTwoLevels starts workers, planners and forwarders, and waits until the forwarders serve.
func (f *Fleet) startTwoLevels(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			f.Close()
		}
	}()
	f.WorkerShape.Settings.Tenants = f.Tenants
	if l := f.RunLog; l != nil {
		f.WorkerShape.Executor.OnStart, f.WorkerShape.Executor.Result = l.RecordStart, l.RecordResult
	}
	if f.WorkerServers, err = process.Start(ctx, f.Workers, f.WorkerShape); err != nil {
		return err
	}
	for _, name := range f.Names {
		shape := f.Shape
		shape.Args = []string{"forward"}
		if name[0] == 'p' {
			shape.Args = []string{"plan"}
		}
		s, err := process.Launch(ctx, name, shape)
		if err != nil {
			return err
		}
		f.Servers = append(f.Servers, s)
	}
	for _, s := range f.Servers[f.Planners:] {
		if err := s.WaitHealthy(ctx); err != nil {
			return err
		}
	}
	return nil
}

// ForwarderNames lists the forwarders, Planning the planners.
func (f *Fleet) ForwarderNames() []string { return f.Names[f.Planners:] }

// PlannerNames lists the planners.
func (f *Fleet) PlannerNames() []string { return f.Names[:f.Planners] }

// fleetCount counts those of this process.
var fleetCount atomic.Int32

// nextHost is an address for a fleet of its own, by this process and the fleet's number: ports there are nobody else's, so that they can be told before
// anybody listens.
func nextHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid%128, pid/128%256, 1+fleetCount.Add(1)%250)
}

// firstPort of a fleet's: those for peers and for operators follow one another.
const firstPort = 7001

// nextAddr gives the next address of this fleet.
func (f *Fleet) nextAddr() string {
	f.portsUsed++
	return fmt.Sprintf("%s:%d", f.host, firstPort+f.portsUsed)
}

func (f *Fleet) processSettings(name string) (conf string, env []string) {
	if f.FleetDisabled {
		return "door on\n", nil
	}
	var b strings.Builder
	fmt.Fprintf(&b, "fleet on\nfleet-listen %s\nfleet-control %s\n", f.gossipAddrs[name], f.controlAddrs[name])
	for _, voter := range f.Names[:f.Voters] {
		fmt.Fprintf(&b, "fleet-voters %s=%s\n", voter, f.gossipAddrs[voter])
	}
	for _, w := range f.WorkerServers {
		fmt.Fprintf(&b, "forward-to %s=%s\n", w.Name, w.Addr)
	}
	b.WriteString(f.ExtraSettings + "\n" + f.ExtraSettingsByName[name] + "\n")
	env = append(env, "SWIFTCOURSE_TEST_VIA="+f.relayRoutes[name])
	if clock := f.ClockByName[name]; clock != "" {
		env = append(env, "SWIFTCOURSE_TEST_CLOCK="+clock)
	}
	if die := f.CrashPointByName[name]; die != "" {
		env = append(env, "SWIFTCOURSE_TEST_DIE="+die)
	}
	if build := f.BuildByName[name]; build != "" {
		env = append(env, "SWIFTCOURSE_BUILD="+build)
	}
	return b.String(), env
}

func (f *Fleet) recordLine(name, line string) {
	fields := process.ParseFields(line)
	event := fields["event"]
	if !isRecorded(event) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, LogEvent{name, time.Now(), event, fields})
}

// recordedEvents are the log events that experiments look for, beside those with a prefix that isRecorded names.
var recordedEvents = []string{"config_applied", "lease_state_changed", "command_finished", "replica_status_changed",
	"circuit_breaker_changed", "load_planner_started", "load_planner_changed", "forwarder_stats", "forwarder_panic", "serving_mode_changed", "panic"}

// isRecorded reports whether a log event is kept for experiments.
func isRecorded(event string) bool {
	return strings.HasPrefix(event, "fleet") || strings.HasPrefix(event, "worker_") || slices.Contains(recordedEvents, event)
}

// Events lists what a server said of an event; "" for all servers, or all events.
func (f *Fleet) Events(name, event string) (list []LogEvent) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.events {
		if (name == "" || s.Name == name) && (event == "" || s.Event == event) {
			list = append(list, s)
		}
	}
	return list
}

// LastEvent is what a server last said of an event in its present life: what it said before it was started again tells nothing of what it knows now. The
// zero Said where it said nothing of it.
func (f *Fleet) LastEvent(name, event string) LogEvent {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range slices.Backward(f.events[f.firstEvent[name]:]) {
		if s.Name == name && s.Event == event {
			return s
		}
	}
	return LogEvent{}
}

// Server finds one by name.
func (f *Fleet) Server(name string) *process.Server {
	for _, s := range f.Servers {
		if s.Name == name {
			return s
		}
	}
	return nil
}

// Pause has a process stand still, and Go on.
func (f *Fleet) Pause(name string) error { return f.Server(name).Signal(syscall.SIGSTOP) }

// Resume has it go on.
func (f *Fleet) Resume(name string) error { return f.Server(name).Signal(syscall.SIGCONT) }

// KillAndRestart kills a process and starts it again, with nothing that it knew.
func (f *Fleet) KillAndRestart(ctx context.Context, name string) error {
	f.Server(name).Kill()
	return f.Restart(ctx, name)
}

// Restart starts a process again that is gone, and waits until its part in the fleet has begun anew.
func (f *Fleet) Restart(ctx context.Context, name string) error {
	f.mu.Lock()
	f.firstEvent[name] = len(f.events) // it has ended, and all that it said is read
	f.mu.Unlock()
	if err := f.Server(name).Restart(ctx); err != nil {
		return err
	}
	if !WaitUntil(restartTimeout, func() bool { return f.LastEvent(name, "fleet_started").Event != "" }) {
		return fmt.Errorf("%s does not say that it began", name)
	}
	return nil
}

// restartTimeout is how long a process may take to begin.
const restartTimeout = 20 * time.Second

// StartDuplicate starts a second process under a server's name, which listens elsewhere.
func (f *Fleet) StartDuplicate(ctx context.Context, name string) (*process.Server, error) {
	shape, listen, control := f.Shape, f.nextAddr(), f.nextAddr()
	shape.Override = func(string) (string, []string) {
		conf, env := f.processSettings(name)
		conf = strings.ReplaceAll(conf, "fleet-listen "+f.gossipAddrs[name], "fleet-listen "+listen)
		return strings.ReplaceAll(conf, f.controlAddrs[name], control), env
	}
	return process.Launch(ctx, name, shape) // it may not act, so it is never healthy
}

// Close ends everything.
func (f *Fleet) Close() {
	process.CloseAll(f.Servers)
	process.CloseAll(f.WorkerServers)
	f.Net.Close()
}

// Status asks a server what it knows of the fleet.
func (f *Fleet) Status(name string) (*fleet.Status, error) {
	return fleet.FetchStatus(f.controlAddrs[name], "")
}

// SendCommand asks a server for a command, and tells the newest epoch after it.
func (f *Fleet) SendCommand(name string, c release.Command) (release.Epoch, error) {
	return fleet.SendCommand(f.controlAddrs[name], c)
}

// Release asks a server for a release.
func (f *Fleet) Release(name, text string, waves ...float64) (release.Epoch, error) {
	return f.SendCommand(name, release.Command{Kind: release.KindRelease, Author: name, Text: text, Digest: release.Digest(text, ""), Waves: waves})
}

// WaitUntil waits for something to be so, and tells whether it came.
func WaitUntil(patience time.Duration, so func() bool) bool {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if so() {
			return true
		}
	}
	return so()
}

// ActiveEpoch is the epoch on which a server last said, since its start, that it acts; 0 where it said none.
func (f *Fleet) ActiveEpoch(name string) release.Epoch {
	e, err := release.ParseEpoch(f.LastEvent(name, "config_applied").Fields["epoch"])
	if err != nil {
		return 0
	}
	return e
}

// AllActiveOn tells whether the servers named act on an epoch, or on a newer one.
func (f *Fleet) AllActiveOn(e release.Epoch, names ...string) bool {
	for _, name := range names {
		if f.ActiveEpoch(name) < e {
			return false
		}
	}
	return true
}

// ReplicasCaughtUp tells whether holders last said, since their start, that they may answer for all that they hold.
func (f *Fleet) ReplicasCaughtUp(names ...string) bool {
	for _, name := range names {
		if f.LastEvent(name, "replica_status_changed").Fields["catching_up"] != "0" {
			return false
		}
	}
	return true
}

// ConflictingDigestEpochs lists epochs with which servers said more than one digest.
func (f *Fleet) ConflictingDigestEpochs() (epochs []string) {
	digests := map[string]string{}
	for _, s := range f.Events("", "config_applied") {
		e, d := s.Fields["epoch"], s.Fields["digest"]
		if was, seen := digests[e]; seen && was != d {
			epochs = append(epochs, e)
		}
		digests[e] = d
	}
	return epochs
}
