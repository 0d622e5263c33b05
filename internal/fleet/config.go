package fleet

import (
	"log/slog"

	"swiftcourse/internal/policy/lease"
	"swiftcourse/internal/policy/release"
	"swiftcourse/internal/policy/serving"
)

// Config configures a process's agent. A concern whose pointer is nil is off.
type Config struct {
	Name       string
	ListenAddr string            // for gossip and messages, TCP and UDP
	Voters     map[string]string // names of the voters, and where they listen
	JoinAddrs  []string          // where some others listen, beside the voters
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
	CountersEnabled bool // requests are counted for the whole fleet

	// Apply has the server act on the text of a release, whole or not at all. It may take some
	// time, but has to return.
	Apply func(text string) error
	// Publish hands the serving loop its directive from now on.
	Publish func(*serving.Directive)

	// Hooks change how the process reaches others, and observe it; the zero value does neither.
	Hooks Hooks
}

// LeaseConfig configures the leases of servers.
type LeaseConfig struct {
	Terms    lease.Config // that it grants leases by, while it leads
	Fallback serving.Mode // what its server does once its own lease expired
}

// Hooks are optional callbacks.
type Hooks struct {
	// TranslateAddr returns where a process is dialed that listens on addr, as behind a port
	// mapping or a relay.
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
