package fleet

import (
	"cmp"
	"log/slog"

	"swiftcourse/internal/policy/lease"
	"swiftcourse/internal/policy/release"
	"swiftcourse/internal/policy/serving"
)

// Config configures a process's agent. A component whose pointer is nil is disabled.
type Config struct {
	Name       string
	ListenAddr string            // for gossip and messages, TCP and UDP
	Voters     map[string]string // listen addresses of the voters, by name
	JoinAddrs  []string          // listen addresses of further members through which to join
	Seed       int64             // for all random choices
	Build      string            // identifies the build of the program
	Clock      TimeSource
	Logger     *slog.Logger // nil for slog.Default
	// MemoryBytes is the memory limit of the process, 0 for defaultMemoryBytes.
	MemoryBytes int64

	Lease   LeaseConfig
	Rollout release.RolloutPolicy

	Replication     *ReplicationConfig
	Trust           *TrustConfig
	Quotas          *QuotaConfig
	Health          *HealthConfig
	LoadPlan        *LoadPlanConfig
	CountersEnabled bool // enables the fleet's counters

	// Apply puts the text of a release into effect. If it returns an error, no part of the text is
	// in effect. The agent is blocked until it returns.
	Apply func(text string) error
	// Publish passes each new directive to the serving loop.
	Publish func(*serving.Directive)

	// Hooks may translate the addresses that the process dials, and observe its trace points.
	Hooks Hooks
}

// LeaseConfig configures server leases.
type LeaseConfig struct {
	Terms    lease.Config // of the leases that the process grants while it is the leader
	Fallback serving.Mode // serving mode of the server after its own lease has expired
}

// Hooks are optional callbacks.
type Hooks struct {
	// TranslateAddr returns the address to dial for a process that listens on addr behind a port
	// mapping or a relay.
	TranslateAddr func(addr string) string
	// TracePoint is called at each step of a key claim or of a replica's catch-up.
	TracePoint func(TracePoint)
}

// defaultMemoryBytes is the memory limit of a process that has none, such as a planner: the largest
// that the platform gives to a server.
const defaultMemoryBytes = 192 << 20

// memoryBytes returns the memory limit to use.
func (c *Config) memoryBytes() int64 { return cmp.Or(c.MemoryBytes, defaultMemoryBytes) }

// logger returns the logger to use.
func (c *Config) logger() *slog.Logger {
	if c.Logger != nil {
		return c.Logger
	}
	return slog.Default()
}
