package fleet

import (
	"log/slog"

	"swiftcourse/internal/policy/lease"
	"swiftcourse/internal/policy/release"
	"swiftcourse/internal/policy/serving"
)

// Config configures a process's agent. A component whose pointer is nil is off.
type Config struct {
	Name       string
	ListenAddr string            // for gossip and messages, TCP and UDP
	Voters     map[string]string // listen addresses of the voters, by their names
	JoinAddrs  []string          // listen addresses of further members to join by
	Seed       int64             // of all random draws
	Build      string            // identifies the build of the program
	Clock      TimeSource
	Logger     *slog.Logger // nil for slog.Default

	Lease   LeaseConfig
	Rollout release.RolloutPolicy

	Replication     *ReplicationConfig
	Trust           *TrustConfig
	Quotas          *QuotaConfig
	Health          *HealthConfig
	LoadPlan        *LoadPlanConfig
	CountersEnabled bool // turns on the counters of the fleet

	// Apply puts the text of a release into effect, completely or, on an error, not at all. The
	// agent does nothing else until it returns.
	Apply func(text string) error
	// Publish hands the serving loop each new directive.
	Publish func(*serving.Directive)

	// Hooks change how the process reaches others, and observe it; the zero value does neither.
	Hooks Hooks
}

// LeaseConfig configures the leases of servers.
type LeaseConfig struct {
	Terms    lease.Config // of the leases that the process grants while it leads
	Fallback serving.Mode // mode of the server after its own lease expired
}

// Hooks are optional callbacks.
type Hooks struct {
	// TranslateAddr returns the address at which to dial a process that listens on addr, where that
	// is behind a port mapping or a relay.
	TranslateAddr func(addr string) string
	// TracePoint is called at each step of a key claim or of catching up.
	TracePoint func(TracePoint)
}

// logger returns the logger to use.
func (c *Config) logger() *slog.Logger {
	if c.Logger != nil {
		return c.Logger
	}
	return slog.Default()
}
