package config

import (
	"net/netip"
	"time"
)

// OperatorSettings has the settings of the operator's file. A key that the file leaves out has its
// default, or else the zero value: off, none, no limit.
//
// Each field has tags: `key` is its key in the file, `default` its default as the file would have it,
// and `validate` the rule that the validator checks. The key's entry in expectedValues is the text
// that errors have of that rule.
type OperatorSettings struct {
	ConnLimit   ConnLimitSettings
	Fleet       FleetSettings
	Replication ReplicationSettings
	Quota       QuotaSettings
	Forwarding  ForwardingSettings
}

// ConnLimitSettings are the limits on clients' connections.
type ConnLimitSettings struct {
	Enabled bool `key:"door"`

	// TrustedPrefixes are trusted from the first moment and have no limit.
	TrustedPrefixes []netip.Prefix `key:"door-known" validate:"max=256"`
	// TrustedReserve is the fraction of the connection slots that is reserved for trusted clients.
	TrustedReserve Fraction `key:"door-reserve" default:"25%" validate:"gte=0,lte=0.9"`

	// The limits on connections, 0 for none. A trusted address has four times as many.
	MaxPerAddress int `key:"door-per-address" default:"0" validate:"gte=0,lte=1000000"`
	MaxPerPrefix  int `key:"door-per-prefix" default:"0" validate:"gte=0,lte=1000000"`

	// The limits on connections that arrive in a second, 0 for none. A trusted address has four
	// times as many.
	ArrivalsPerAddress float64 `key:"door-arrivals-per-address" default:"50" validate:"gte=0,lte=1000000"`
	ArrivalsPerPrefix  float64 `key:"door-arrivals-per-prefix" default:"0" validate:"gte=0,lte=1000000"`

	// The number of bits that make a prefix.
	PrefixBitsIPv4 int `key:"door-prefix-ipv4" default:"24" validate:"gte=8,lte=32"`
	PrefixBitsIPv6 int `key:"door-prefix-ipv6" default:"56" validate:"gte=16,lte=128"`

	// HoldingSlots is how many rejected connections are held until their first message is answered.
	HoldingSlots int `key:"door-lobby" default:"16" validate:"gte=1,lte=1024"`
	// RememberedAddresses is how many addresses are remembered without a connection.
	RememberedAddresses int `key:"door-remember" default:"4096" validate:"gte=64,lte=1000000"`

	// RequestsToTrust is how many requests of an address have to complete for it to be trusted; at
	// most one a second counts.
	RequestsToTrust int `key:"door-earn" default:"3" validate:"gte=1,lte=60"`
	// ReputationHalfLife is the time in which the credit that an address has for its requests halves.
	ReputationHalfLife time.Duration `key:"door-forget" default:"10m" validate:"gte=1s,lte=24h"`

	// The bounds of the time that a rejected client is told to wait, which doubles from the least to
	// the greatest.
	MinRetryAfter time.Duration `key:"door-come-back" default:"200ms" validate:"gte=1ms,lte=1h"`
	MaxRetryAfter time.Duration `key:"door-come-back-most" default:"10s" validate:"gtefield=MinRetryAfter,lte=1h"`

	// CoreShare is the fraction of a core that accepting connections may use.
	CoreShare Fraction `key:"door-share" default:"10%" validate:"gte=0.01,lte=1"`
}

// FleetSettings are the settings of a server that is a member of a fleet.
type FleetSettings struct {
	Enabled bool `key:"fleet"`
	// ListenAddress is for the other servers, ControlAddress for operators.
	ListenAddress  string `key:"fleet-listen" validate:"required_if=Enabled true,omitempty,tcp_addr"`
	ControlAddress string `key:"fleet-control" validate:"omitempty,tcp_addr"`
	// Voters are the voting members of the fleet, each as name=address; the same on all servers.
	Voters []string `key:"fleet-voters" validate:"required_if=Enabled true,max=15"`
	// JoinAddresses are the addresses of other servers by which the fleet can be found.
	JoinAddresses []string `key:"fleet-join" validate:"max=256,dive,tcp_addr"`

	// LeaseDuration is how long a server may act without hearing from the leader.
	LeaseDuration time.Duration `key:"fleet-lease" default:"6s" validate:"gte=1s,lte=10m"`
	// CatchUpTimeout is how long a server may lag behind the fleet's settings before it is fenced.
	CatchUpTimeout time.Duration `key:"fleet-behind" default:"10s" validate:"gte=1s,lte=1h"`
	// FallbackMode is what a server does once its lease has expired.
	FallbackMode FallbackMode `key:"fleet-silent" default:"keep" validate:"oneof=keep shield leave"`
	// MaxUnavailable is the fraction of the fleet that may be out of service because a lease has
	// expired or a server lags.
	MaxUnavailable Fraction `key:"fleet-most-out" default:"25%" validate:"gte=0,lte=1"`
	// ForgetAfter is how long a server may be silent before it is forgotten and its name is free.
	ForgetAfter time.Duration `key:"fleet-forget" default:"10m" validate:"gtefield=LeaseDuration,lte=24h"`

	// WaveDuration is the minimum duration of each wave of a release's rollout.
	WaveDuration time.Duration `key:"fleet-wave" default:"30s" validate:"gte=0s,lte=1h"`
	// HaltConfidence is the confidence that a release does harm at which it is rolled back.
	HaltConfidence Fraction `key:"fleet-halt" default:"99.99%" validate:"gte=0.5,lte=1"`

	// SharedHealthChecks makes the servers pool what they observe of the health of their upstream.
	SharedHealthChecks bool `key:"fleet-below"`
	// SharedCounters turns on counters of the whole fleet's requests, by tenant and class.
	SharedCounters bool   `key:"fleet-counts"`
	Zone           string `key:"fleet-zone" validate:"max=64"`
}

// FallbackMode is what a server does once its lease has expired, as it can't reach the leader.
type FallbackMode string

// The fallback modes, with their values in the operator's file.
const (
	// FallbackNormal goes on with the settings that it has.
	FallbackNormal FallbackMode = "keep"
	// FallbackSafeDefaults goes on with the safe defaults in place of what was released.
	FallbackSafeDefaults FallbackMode = "shield"
	// FallbackOutOfService takes itself out of service.
	FallbackOutOfService FallbackMode = "leave"
)

// ReplicationSettings are the settings of the state that several servers of a fleet replicate. They
// have to be the same on all servers.
type ReplicationSettings struct {
	// Replicas are the servers that keep the state, each as name/zone/weight; zone and weight are
	// optional.
	Replicas []string `key:"replica-holders" validate:"max=64"`
	// KeyedClasses are the classes whose requests bear an idempotency key as their subject.
	KeyedClasses []string `key:"replica-keyed" validate:"max=64"`

	// ReplicationFactor is how many replicas keep each key; a majority of them has to grant it.
	ReplicationFactor int `key:"replica-copies" default:"3" validate:"gte=1,lte=7"`
	// RetentionWindow is how long a key is kept, in which a repeat of its request does not run.
	RetentionWindow time.Duration `key:"replica-window" default:"1m" validate:"gte=1s,lte=24h"`
	MaxRecords      int           `key:"replica-records" default:"100000" validate:"gte=1000,lte=10000000"`
	MaxMemoryMB     int           `key:"replica-memory-mb" default:"64" validate:"gte=1,lte=65536"`

	// SharedTrust shares the trusted client addresses among the servers, also across restarts.
	SharedTrust bool `key:"replica-callers"`
	// CatchUpRateKB is how many kilobytes a second a replica receives at most to catch up.
	CatchUpRateKB int `key:"replica-rate-kb" default:"4096" validate:"gte=16,lte=1048576"`
}

// QuotaSettings are the quotas of the whole fleet, of which the servers lease shares. A release may
// override them.
type QuotaSettings struct {
	// Limits are the quotas: tenant/NAME=RATE in requests a second, calls=NUMBER at a time.
	Limits []string `key:"budget" validate:"max=16384"`
	// FloorFraction is the fraction of each quota that is split evenly among the servers, for those
	// without a lease.
	FloorFraction Fraction `key:"budget-floor" default:"10%" validate:"gte=0.01,lte=0.9"`
	// MaxServers is how many servers the fleet may have at a time; 0 turns quotas off.
	MaxServers int `key:"budget-servers" default:"0" validate:"gte=0,lte=4096"`
}

// ForwardingSettings are the settings of a forwarder.
type ForwardingSettings struct {
	// Workers are the servers that requests are forwarded to, each as name=address.
	Workers []string `key:"forward-to" validate:"max=4096"`
	// MaxInFlight is how many requests may be at the workers at a time; 0 stands for the number of
	// their cores.
	MaxInFlight int `key:"forward-slots" default:"0" validate:"gte=0,lte=1000000"`
}

// Fraction is a number from 0 to 1. The file has it as a percentage, such as 25%.
type Fraction float64
