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

	labfleet "swiftcourse/internal/bench/process"
	standin "swiftcourse/internal/fake/upstream"
	"swiftcourse/internal/fleet"
	"swiftcourse/internal/policy/release"
	"swiftcourse/internal/wire/catalogue"
	"swiftcourse/internal/wire/shale"
)

// Plan is how a fleet of processes is to be.
type Plan struct {
	Shape   labfleet.Shape
	Servers int
	Voters  int
	Conf    string            // more lines of every operator's file
	ConfOf  map[string]string // more lines of one
	Clock   map[string]string // SWIFTCOURSE_TEST_CLOCK of one
	Build   map[string]string // SWIFTCOURSE_BUILD of one
	Seed    uint64
	Ledger  *Ledger           // of the processors; nil for none
	Work    float64           // seconds that a task takes; 0 as the shape says
	Die     map[string]string // SWIFTCOURSE_TEST_DIE of one: POINT,N and after S seconds, POINT,N,S kills it when it passes that point of its claims or copies for the Nth time
	Direct  bool              // no relays: for what is measured in fractions of a millisecond
	Alone   bool              // the fleet's parts are off
	Tenants []shale.Tenant    // who share the service; none for a service without tenants

	// Planners and Forwarders, if there are any, are the processes of this fleet in place of servers: p1 and on, who are the voters, and f1 and on. Workers
	// are then servers of no fleet behind the forwarders, in the shape of Worker.
	Planners, Forwarders, Workers int
	Worker                        labfleet.Shape

	// Fate has each task make a call below, and says what becomes of the nth of a server; nil for no calls.
	Fate func(name string, n int, c catalogue.Call) standin.Fate
}

// Said is what a server said it did, by its log, with the time at which this process read it: an account apart from the program's own.
type Said struct {
	Name   string
	At     time.Time
	Event  string
	Fields map[string]string
}

// Fleet is processes of the real program with relays between them.
type Fleet struct {
	Plan
	Net     *Net
	Servers []*labfleet.Server
	Behind  []*labfleet.Server // workers
	Names   []string
	place   string
	ports   int
	control map[string]string
	listen  map[string]string
	via     map[string]string
	mu      sync.Mutex
	said    []Said
	lives   map[string]int // of a process that was started again: where in said its present life begins
}

// Start starts a fleet and waits until every process serves.
func Start(ctx context.Context, p Plan) (*Fleet, error) {
	f := &Fleet{Plan: p, Net: NewNet(p.Seed), place: place(), control: map[string]string{}, listen: map[string]string{}, via: map[string]string{},
		lives: map[string]int{}}
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
		f.listen[name], f.control[name] = f.port(), f.port()
	}
	for _, from := range f.Names {
		var ways []string
		for _, to := range f.Names {
			if from == to || p.Direct {
				continue
			}
			relay, err := f.Net.Relay(from, to, f.listen[to])
			if err != nil {
				return nil, err
			}
			ways = append(ways, f.listen[to]+"="+relay)
		}
		f.via[from] = strings.Join(ways, ",")
	}
	f.Shape.Each, f.Shape.Hear = f.each, f.hear
	f.Shape.Told.Tenants = p.Tenants
	if p.Fate != nil {
		f.Shape.FateOf = p.Fate
		f.Shape.Work.Calls, f.Shape.Work.Parked = func(string, string) bool { return true }, demandWait
		own := &f.Shape.Told.Own
		own.Below, own.StageCalls, own.CallLingerMs = "tier", []bool{true}, 300
	}
	if l := p.Ledger; l != nil {
		f.Shape.Work.Begun, f.Shape.Work.Result = l.Begun, l.Result
	}
	if p.Work > 0 {
		f.Shape.Work.Work = func(string, string) float64 { return p.Work }
	}
	if p.Forwarders > 0 {
		return f, f.twoLevels(ctx)
	}
	servers, err := labfleet.Start(ctx, p.Servers, f.Shape)
	if err != nil {
		f.Net.Close()
		return nil, err
	}
	f.Servers = servers
	return f, nil
}

// twoLevels starts workers, planners and forwarders, and waits until the forwarders serve.
func (f *Fleet) twoLevels(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			f.Close()
		}
	}()
	f.Worker.Told.Tenants = f.Tenants
	if l := f.Ledger; l != nil {
		f.Worker.Work.Begun, f.Worker.Work.Result = l.Begun, l.Result
	}
	if f.Behind, err = labfleet.Start(ctx, f.Workers, f.Worker); err != nil {
		return err
	}
	for _, name := range f.Names {
		shape := f.Shape
		shape.Words = []string{"forward"}
		if name[0] == 'p' {
			shape.Words = []string{"plan"}
		}
		s, err := labfleet.Launch(ctx, name, shape)
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

// Front lists the forwarders, Planning the planners.
func (f *Fleet) Front() []string { return f.Names[f.Planners:] }

// Planning lists the planners.
func (f *Fleet) Planning() []string { return f.Names[:f.Planners] }

// fleets counts those of this process.
var fleets atomic.Int32

// place is an address for a fleet of its own, by this process and the fleet's number: ports there are nobody else's, so that they can be told before
// anybody listens.
func place() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid%128, pid/128%256, 1+fleets.Add(1)%250)
}

// firstPort of a fleet's: those for peers and for operators follow one another.
const firstPort = 7001

// port gives the next address of this fleet.
func (f *Fleet) port() string {
	f.ports++
	return fmt.Sprintf("%s:%d", f.place, firstPort+f.ports)
}

func (f *Fleet) each(name string) (conf string, env []string) {
	if f.Alone {
		return "door on\n", nil
	}
	var b strings.Builder
	fmt.Fprintf(&b, "fleet on\nfleet-listen %s\nfleet-control %s\n", f.listen[name], f.control[name])
	for _, voter := range f.Names[:f.Voters] {
		fmt.Fprintf(&b, "fleet-voters %s=%s\n", voter, f.listen[voter])
	}
	for _, w := range f.Behind {
		fmt.Fprintf(&b, "forward-to %s=%s\n", w.Name, w.Addr)
	}
	b.WriteString(f.Conf + "\n" + f.ConfOf[name] + "\n")
	env = append(env, "SWIFTCOURSE_TEST_VIA="+f.via[name])
	if clock := f.Clock[name]; clock != "" {
		env = append(env, "SWIFTCOURSE_TEST_CLOCK="+clock)
	}
	if die := f.Die[name]; die != "" {
		env = append(env, "SWIFTCOURSE_TEST_DIE="+die)
	}
	if build := f.Build[name]; build != "" {
		env = append(env, "SWIFTCOURSE_BUILD="+build)
	}
	return b.String(), env
}

func (f *Fleet) hear(name, line string) {
	fields := labfleet.Fields(line)
	event := fields["event"]
	if !isRecorded(event) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.said = append(f.said, Said{name, time.Now(), event, fields})
}

// recordedEvents are the log events that experiments look for, beside those with a prefix that isRecorded names.
var recordedEvents = []string{"config_applied", "lease_state_changed", "command_finished", "replica_status_changed",
	"circuit_breaker_changed", "load_planner_started", "load_planner_changed", "forwarder_stats", "forwarder_panic", "serving_mode_changed", "panic"}

// isRecorded reports whether a log event is kept for experiments.
func isRecorded(event string) bool {
	return strings.HasPrefix(event, "fleet") || strings.HasPrefix(event, "worker_") || slices.Contains(recordedEvents, event)
}

// Said lists what a server said of an event; "" for all servers, or all events.
func (f *Fleet) Said(name, event string) (list []Said) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.said {
		if (name == "" || s.Name == name) && (event == "" || s.Event == event) {
			list = append(list, s)
		}
	}
	return list
}

// Last is what a server last said of an event in its present life: what it said before it was started again tells nothing of what it knows now. The
// zero Said where it said nothing of it.
func (f *Fleet) Last(name, event string) Said {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range slices.Backward(f.said[f.lives[name]:]) {
		if s.Name == name && s.Event == event {
			return s
		}
	}
	return Said{}
}

// Server finds one by name.
func (f *Fleet) Server(name string) *labfleet.Server {
	for _, s := range f.Servers {
		if s.Name == name {
			return s
		}
	}
	return nil
}

// Stop has a process stand still, and Go on.
func (f *Fleet) Stop(name string) error { return f.Server(name).Signal(syscall.SIGSTOP) }

// Go has it go on.
func (f *Fleet) Go(name string) error { return f.Server(name).Signal(syscall.SIGCONT) }

// Cold kills a process and starts it again, with nothing that it knew.
func (f *Fleet) Cold(ctx context.Context, name string) error {
	f.Server(name).Kill()
	return f.Back(ctx, name)
}

// Back starts a process again that is gone, and waits until its part in the fleet has begun anew.
func (f *Fleet) Back(ctx context.Context, name string) error {
	f.mu.Lock()
	f.lives[name] = len(f.said) // it has ended, and all that it said is read
	f.mu.Unlock()
	if err := f.Server(name).Restart(ctx); err != nil {
		return err
	}
	if !Until(cold, func() bool { return f.Last(name, "fleet_started").Event != "" }) {
		return fmt.Errorf("%s does not say that it began", name)
	}
	return nil
}

// cold is how long a process may take to begin.
const cold = 20 * time.Second

// Twin starts a second process under a server's name, which listens elsewhere.
func (f *Fleet) Twin(ctx context.Context, name string) (*labfleet.Server, error) {
	shape, listen, control := f.Shape, f.port(), f.port()
	shape.Each = func(string) (string, []string) {
		conf, env := f.each(name)
		conf = strings.ReplaceAll(conf, "fleet-listen "+f.listen[name], "fleet-listen "+listen)
		return strings.ReplaceAll(conf, f.control[name], control), env
	}
	return labfleet.Launch(ctx, name, shape) // it may not act, so it is never healthy
}

// Close ends everything.
func (f *Fleet) Close() {
	labfleet.End(f.Servers)
	labfleet.End(f.Behind)
	f.Net.Close()
}

// State asks a server what it knows of the fleet.
func (f *Fleet) State(name string) (*fleet.Status, error) {
	return fleet.FetchStatus(f.control[name], "")
}

// Command asks a server for a command, and tells the newest epoch after it.
func (f *Fleet) Command(name string, c release.Command) (release.Epoch, error) {
	return fleet.SendCommand(f.control[name], c)
}

// Release asks a server for a release.
func (f *Fleet) Release(name, text string, waves ...float64) (release.Epoch, error) {
	return f.Command(name, release.Command{Kind: release.KindRelease, Author: name, Text: text, Digest: release.Digest(text, ""), Waves: waves})
}

// Until waits for something to be so, and tells whether it came.
func Until(patience time.Duration, so func() bool) bool {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if so() {
			return true
		}
	}
	return so()
}

// ActsOn is the epoch on which a server last said, since its start, that it acts; 0 where it said none.
func (f *Fleet) ActsOn(name string) release.Epoch {
	e, err := release.ParseEpoch(f.Last(name, "config_applied").Fields["epoch"])
	if err != nil {
		return 0
	}
	return e
}

// AllOn tells whether the servers named act on an epoch, or on a newer one.
func (f *Fleet) AllOn(e release.Epoch, names ...string) bool {
	for _, name := range names {
		if f.ActsOn(name) < e {
			return false
		}
	}
	return true
}

// Warm tells whether holders last said, since their start, that they may answer for all that they hold.
func (f *Fleet) Warm(names ...string) bool {
	for _, name := range names {
		if f.Last(name, "replica_status_changed").Fields["catching_up"] != "0" {
			return false
		}
	}
	return true
}

// TwoDigests lists epochs with which servers said more than one digest.
func (f *Fleet) TwoDigests() (epochs []string) {
	digests := map[string]string{}
	for _, s := range f.Said("", "config_applied") {
		e, d := s.Fields["epoch"], s.Fields["digest"]
		if was, seen := digests[e]; seen && was != d {
			epochs = append(epochs, e)
		}
		digests[e] = d
	}
	return epochs
}
