package config

import (
	"net/netip"
	"time"
)

// OperatorSettings has the settings of the operator's file. A key that the file leaves out has its
// default value, or the zero value if it has no default: off, empty or unlimited.
//
// The tags of each field are `key`, its key in the file; `default`, its default value in the format
// of the file; and `validate`, the rule that the validator checks. Errors describe the valid values
// with the key's text in expectedValues.
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

	// TrustedPrefixes are address prefixes whose clients are always trusted and have no limits.
	TrustedPrefixes []netip.Prefix `key:"door-known" validate:"max=256"`
	// TrustedReserve is the fraction of the connection slots that is reserved for trusted clients.
	TrustedReserve Fraction `key:"door-reserve" default:"25%" validate:"gte=0,lte=0.9"`

	// The limits on open connections, 0 for no limit. They are four times as high for a trusted
	// address.
	MaxPerAddress int `key:"door-per-address" default:"0" validate:"gte=0,lte=1000000"`
	MaxPerPrefix  int `key:"door-per-prefix" default:"0" validate:"gte=0,lte=1000000"`

	// The limits on new connections per second, 0 for no limit. They are four times as high for a
	// trusted address.
	ArrivalsPerAddress float64 `key:"door-arrivals-per-address" default:"50" validate:"gte=0,lte=1000000"`
	ArrivalsPerPrefix  float64 `key:"door-arrivals-per-prefix" default:"0" validate:"gte=0,lte=1000000"`

	// The lengths, in bits, of the prefixes by which clients are grouped.
	PrefixBitsIPv4 int `key:"door-prefix-ipv4" default:"24" validate:"gte=8,lte=32"`
	PrefixBitsIPv6 int `key:"door-prefix-ipv6" default:"56" validate:"gte=16,lte=128"`

	// HoldingSlots is the maximum number of rejected connections that are kept open until their
	// first message is answered.
	HoldingSlots int `key:"door-lobby" default:"16" validate:"gte=1,lte=1024"`
	// RememberedAddresses is the maximum number of addresses without a connection that are
	// remembered.
	RememberedAddresses int `key:"door-remember" default:"4096" validate:"gte=64,lte=1000000"`

	// RequestsToTrust is how many requests of an address have to complete before it is trusted. At
	// most one request per second counts.
	RequestsToTrust int `key:"door-earn" default:"3" validate:"gte=1,lte=60"`
	// ReputationHalfLife is the half-life of an address's credit for its completed requests.
	ReputationHalfLife time.Duration `key:"door-forget" default:"10m" validate:"gte=1s,lte=24h"`

	// The bounds of the retry delay sent to a rejected client. The delay doubles from the minimum
	// to the maximum.
	MinRetryAfter time.Duration `key:"door-come-back" default:"200ms" validate:"gte=1ms,lte=1h"`
	MaxRetryAfter time.Duration `key:"door-come-back-most" default:"10s" validate:"gtefield=MinRetryAfter,lte=1h"`

	// CoreShare is the fraction of a core that accepting connections may use.
	CoreShare Fraction `key:"door-share" default:"10%" validate:"gte=0.01,lte=1"`
}

// FleetSettings are the settings of a server that is a member of a fleet.
type FleetSettings struct {
	Enabled bool `key:"fleet"`
	// ListenAddress is the address to which the other servers connect, ControlAddress the address of
	// the control API for operators.
	ListenAddress  string `key:"fleet-listen" validate:"required_if=Enabled true,omitempty,tcp_addr"`
	ControlAddress string `key:"fleet-control" validate:"omitempty,tcp_addr"`
	// Voters are the voting members of the fleet, each as name=address. The list has to be the same
	// on all servers.
	Voters []string `key:"fleet-voters" validate:"required_if=Enabled true,max=15"`
	// JoinAddresses are addresses of other servers through which this server finds the fleet.
	JoinAddresses []string `key:"fleet-join" validate:"max=256,dive,tcp_addr"`

	// LeaseDuration is how long a server may act without a message from the leader.
	LeaseDuration time.Duration `key:"fleet-lease" default:"6s" validate:"gte=1s,lte=10m"`
	// CatchUpTimeout is how long a server may run outdated settings of the fleet before it is
	// fenced.
	CatchUpTimeout time.Duration `key:"fleet-behind" default:"10s" validate:"gte=1s,lte=1h"`
	// FallbackMode is what a server does once its lease has expired.
	FallbackMode FallbackMode `key:"fleet-silent" default:"keep" validate:"oneof=keep shield leave"`
	// MaxUnavailable is the maximum fraction of the fleet that may be out of service because of
	// expired leases or outdated settings.
	MaxUnavailable Fraction `key:"fleet-most-out" default:"25%" validate:"gte=0,lte=1"`
	// ForgetAfter is how long a server may be silent before its registration is removed and its
	// name may be used by another server.
	ForgetAfter time.Duration `key:"fleet-forget" default:"10m" validate:"gtefield=LeaseDuration,lte=24h"`

	// WaveDuration is the minimum duration of each wave of a release's rollout.
	WaveDuration time.Duration `key:"fleet-wave" default:"30s" validate:"gte=0s,lte=1h"`
	// HaltConfidence is the confidence that a release does harm at which the release is rolled back.
	HaltConfidence Fraction `key:"fleet-halt" default:"99.99%" validate:"gte=0.5,lte=1"`

	// SharedHealthChecks makes the servers share their observations of the upstream's health.
	SharedHealthChecks bool `key:"fleet-below"`
	// SharedCounters turns on counters of the requests of the whole fleet, by tenant and class.
	SharedCounters bool `key:"fleet-counts"`
	// Zone is the name of this server's zone, "" if zones are not used.
	Zone string `key:"fleet-zone" validate:"max=64"`
}

// FallbackMode is what a server does once its lease has expired because it can't reach the leader.
type FallbackMode string

// The fallback modes, with their values in the operator's file.
const (
	// FallbackNormal continues with the current settings.
	FallbackNormal FallbackMode = "keep"
	// FallbackSafeDefaults continues with the safe defaults instead of the released settings.
	FallbackSafeDefaults FallbackMode = "shield"
	// FallbackOutOfService takes the server out of service.
	FallbackOutOfService FallbackMode = "leave"
)

// ReplicationSettings are the settings of the state that is replicated among servers of a fleet.
// They have to be the same on all servers.
type ReplicationSettings struct {
	// Replicas are the servers that store the state, each as name/zone/weight. Zone and weight are
	// optional.
	Replicas []string `key:"replica-holders" validate:"max=64"`
	// KeyedClasses are the classes whose requests have an idempotency key as their subject.
	KeyedClasses []string `key:"replica-keyed" validate:"max=64"`

	// ReplicationFactor is how many replicas store each key. A majority of them has to grant a
	// claim of it.
	ReplicationFactor int `key:"replica-copies" default:"3" validate:"gte=1,lte=7"`
	// RetentionWindow is how long a key is kept. Until then a repeat of its request does not run.
	RetentionWindow time.Duration `key:"replica-window" default:"1m" validate:"gte=1s,lte=24h"`
	// MaxRecords is the maximum number of keys that a replica stores, and MaxMemoryMB the approximate
	// limit on the memory that they and their results take.
	MaxRecords  int `key:"replica-records" default:"100000" validate:"gte=1000,lte=10000000"`
	MaxMemoryMB int `key:"replica-memory-mb" default:"64" validate:"gte=1,lte=65536"`

	// SharedTrust shares the trusted client addresses among the servers and preserves them across
	// restarts.
	SharedTrust bool `key:"replica-callers"`
	// CatchUpRateKB is the maximum rate, in kilobytes per second, at which a replica that is behind
	// receives the missing state.
	CatchUpRateKB int `key:"replica-rate-kb" default:"4096" validate:"gte=16,lte=1048576"`
}

// QuotaSettings are the quotas of the whole fleet, of which each server leases a share. A release
// may override them.
type QuotaSettings struct {
	// Limits are the quotas: tenant/NAME=RATE limits requests per second, calls=NUMBER concurrent
	// calls.
	Limits []string `key:"budget" validate:"max=16384"`
	// FloorFraction is the fraction of each quota that is split evenly among the servers and that a
	// server may use without a lease.
	FloorFraction Fraction `key:"budget-floor" default:"10%" validate:"gte=0.01,lte=0.9"`
	// MaxServers is the maximum number of servers in the fleet at a time; 0 turns quotas off.
	MaxServers int `key:"budget-servers" default:"0" validate:"gte=0,lte=4096"`
}

// ForwardingSettings are the settings of a forwarder.
type ForwardingSettings struct {
	// Workers are the servers to which requests are forwarded, each as name=address.
	Workers []string `key:"forward-to" validate:"max=4096"`
	// MaxInFlight is the maximum number of requests at the workers at a time; 0 stands for the total
	// number of the workers' cores.
	MaxInFlight int `key:"forward-slots" default:"0" validate:"gte=0,lte=1000000"`
}

// Fraction is a number from 0 to 1. In the file it is a percentage, such as 25%.
type Fraction float64
