package faultinjection

import (
	"context"
	"fmt"
	"maps"
	"os"
	"strings"
	"sync"
	"sync/atomic"

	"swiftcourse/internal/bench/process"
)

const (
	// plannerPrefix is the prefix of the planners' names.
	plannerPrefix = "p"
	// firstPort is the port before the first one that a fleet uses. Gossip and control addresses
	// take alternate ports.
	firstPort = 7001
	// abandonedCallMs is how long, in milliseconds, a downstream call may take after its request
	// has ended.
	abandonedCallMs = 300
)

// Fleet is a set of real processes with relays between them.
type Fleet struct {
	Config
	Net           *Network
	Servers       []*process.Server // without workers
	WorkerServers []*process.Server
	Names         []string // of Servers

	host         string // loopback address of the fleet
	portsUsed    int
	controlAddrs map[string]string // by process name
	gossipAddrs  map[string]string // by process name
	relayRoutes  map[string]string // SWIFTCOURSE_TEST_VIA by process name

	mu              sync.Mutex
	events          []LogEvent
	programs        map[string]string // binary for the next start, by process name; absent for that of ProcessConfig
	firstEventIndex map[string]int    // index in events from which on a restarted process's present incarnation logs
}

// Start starts a fleet and waits until its processes serve.
func Start(ctx context.Context, config Config) (*Fleet, error) {
	f := &Fleet{
		Config:          config,
		Net:             NewNetwork(config.Seed),
		Names:           config.names(),
		host:            nextHost(),
		controlAddrs:    map[string]string{},
		gossipAddrs:     map[string]string{},
		relayRoutes:     map[string]string{},
		firstEventIndex: map[string]int{},
		programs:        maps.Clone(config.ProgramByName),
	}
	if f.programs == nil {
		f.programs = map[string]string{}
	}
	if config.Planners > 0 {
		f.Voters = config.Planners
	}
	for _, name := range f.Names {
		f.gossipAddrs[name] = f.nextAddr()
		f.controlAddrs[name] = f.nextAddr()
	}
	if err := f.addRelays(); err != nil {
		return nil, err
	}
	f.completeProcessConfig()
	if config.Forwarders > 0 {
		return f, f.startTwoLevels(ctx)
	}
	servers, err := process.Start(ctx, config.Servers, f.ProcessConfig)
	if err != nil {
		f.Net.Close()
		return nil, err
	}
	f.Servers = servers
	return f, nil
}

// addRelays adds a relay for each ordered pair of processes.
func (f *Fleet) addRelays() error {
	if f.NoRelays {
		return nil
	}
	for _, from := range f.Names {
		var routes []string
		for _, to := range f.Names {
			if from == to {
				continue
			}
			relay, err := f.Net.AddRelay(from, to, f.gossipAddrs[to])
			if err != nil {
				return fmt.Errorf("relay from %s to %s: %w", from, to, err)
			}
			routes = append(routes, f.gossipAddrs[to]+"="+relay)
		}
		f.relayRoutes[from] = strings.Join(routes, ",")
	}
	return nil
}

// completeProcessConfig completes the process configuration from the fleet's configuration.
func (f *Fleet) completeProcessConfig() {
	processConfig := &f.ProcessConfig
	processConfig.OverrideFor = f.processSettings
	processConfig.ProgramFor = f.programOf
	f.WorkerConfig.ProgramFor = f.programOf
	processConfig.OnLogLine = f.recordLine
	processConfig.Settings.Tenants = f.Tenants
	if f.CallOutcome != nil {
		processConfig.UpstreamFor = f.CallOutcome
		processConfig.Executor.CallsUpstream = func(string, string) bool { return true }
		processConfig.Executor.CallTimeoutSeconds = loadTimeoutSeconds
		deployment := &processConfig.Settings.Deployment
		deployment.Downstream = "tier"
		deployment.ClassCalls = []bool{true}
		deployment.AbandonedCallMs = abandonedCallMs
	}
	if log := f.RunLog; log != nil {
		processConfig.Executor.OnStart = log.RecordStart
		processConfig.Executor.Result = log.RecordResult
	}
	if f.RunSeconds > 0 {
		processConfig.Executor.CPUSeconds = func(string, string) float64 { return f.RunSeconds }
	}
}

// programOf returns the binary for the next start of a process, "" for that of its process configuration.
func (f *Fleet) programOf(name string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.programs[name]
}

// SetProgram sets the binary that a process runs from its next start on, to upgrade or downgrade
// one process of a fleet.
func (f *Fleet) SetProgram(name, path string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.programs[name] = path
}

// startTwoLevels starts workers, planners and forwarders, and waits until the forwarders serve.
func (f *Fleet) startTwoLevels(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			f.Close()
		}
	}()
	f.WorkerConfig.Settings.Tenants = f.Tenants
	if log := f.RunLog; log != nil {
		f.WorkerConfig.Executor.OnStart = log.RecordStart
		f.WorkerConfig.Executor.Result = log.RecordResult
	}
	if f.WorkerServers, err = process.Start(ctx, f.Workers, f.WorkerConfig); err != nil {
		return fmt.Errorf("workers: %w", err)
	}
	for _, name := range f.Names {
		processConfig := f.ProcessConfig
		processConfig.Args = []string{"forward"}
		if strings.HasPrefix(name, plannerPrefix) {
			processConfig.Args = []string{"plan"}
		}
		started, err := process.StartOne(ctx, name, processConfig)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		f.Servers = append(f.Servers, started)
	}
	for _, forwarder := range f.Servers[f.Planners:] {
		if err := forwarder.WaitHealthy(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Close ends all processes and closes all relays.
func (f *Fleet) Close() {
	process.CloseAll(f.Servers)
	process.CloseAll(f.WorkerServers)
	f.Net.Close()
}

// ForwarderNames returns the names of the forwarders.
func (f *Fleet) ForwarderNames() []string { return f.Names[f.Planners:] }

// PlannerNames returns the names of the planners.
func (f *Fleet) PlannerNames() []string { return f.Names[:f.Planners] }

// Server returns the process with the given name, or nil.
func (f *Fleet) Server(name string) *process.Server {
	for _, server := range f.Servers {
		if server.Name == name {
			return server
		}
	}
	return nil
}

// BytesSent returns the bytes that all processes have sent over the relays.
func (f *Fleet) BytesSent() (total int64) {
	for _, name := range f.Names {
		total += f.Net.BytesSent(name)
	}
	return total
}

// numberedNames returns prefix1, prefix2 and so on, up to the count.
func numberedNames(prefix string, count int) (names []string) {
	for i := range count {
		names = append(names, fmt.Sprintf("%s%d", prefix, i+1))
	}
	return names
}

// fleetCount is the number of fleets that this process has started.
var fleetCount atomic.Int32

// nextHost returns a loopback address for a fleet, made of this process's ID and the fleet's
// number. No other process uses ports of it, so addresses can be assigned before the processes
// listen.
func nextHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid%128, pid/128%256, 1+fleetCount.Add(1)%250)
}

// nextAddr returns the next unused address of this fleet.
func (f *Fleet) nextAddr() string {
	f.portsUsed++
	return fmt.Sprintf("%s:%d", f.host, firstPort+f.portsUsed)
}

// processSettings returns the operator's file of a process and its additional environment
// variables.
func (f *Fleet) processSettings(name string) (settings string, environment []string) {
	if f.FleetDisabled {
		return "door on\n", nil
	}
	var text strings.Builder
	fmt.Fprintf(&text, "fleet on\nfleet-listen %s\nfleet-control %s\n", f.gossipAddrs[name], f.controlAddrs[name])
	for _, voter := range f.Names[:f.Voters] {
		fmt.Fprintf(&text, "fleet-voters %s=%s\n", voter, f.gossipAddrs[voter])
	}
	for _, worker := range f.WorkerServers {
		fmt.Fprintf(&text, "forward-to %s=%s\n", worker.Name, worker.Addr)
	}
	text.WriteString(f.ExtraSettings + "\n" + f.ExtraSettingsByName[name] + "\n")
	environment = append(environment, "SWIFTCOURSE_TEST_VIA="+f.relayRoutes[name])
	for _, variable := range []struct{ key, value string }{
		{"SWIFTCOURSE_TEST_CLOCK", f.ClockByName[name]},
		{"SWIFTCOURSE_TEST_DIE", f.CrashPointByName[name]},
		{"SWIFTCOURSE_BUILD", f.BuildByName[name]},
	} {
		if variable.value != "" {
			environment = append(environment, variable.key+"="+variable.value)
		}
	}
	return text.String(), environment
}
