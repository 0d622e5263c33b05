package config

import (
	"net/netip"
	"time"
)

// OperatorSettings is what the operator's file sets. Without the file, or without a key, all of it
// is off or as the default says.
//
// The tags say how the file is read: `key` names a field in it, `default` is its value where the
// file says nothing, and `validate` is what the validator checks. A key's entry in expectedValues
// tells people what would be right.
type OperatorSettings struct {
	ConnLimit   ConnLimitSettings
	Fleet       FleetSettings
	Replication ReplicationSettings
	Quota       QuotaSettings
	Forwarding  ForwardingSettings
}

// ConnLimitSettings are those of connection admission control.
type ConnLimitSettings struct {
	Enabled bool `key:"door"`

	// TrustedPrefixes are trusted from the first moment and have no limit.
	TrustedPrefixes []netip.Prefix `key:"door-known" validate:"max=256"`
	// TrustedReserve is the part of the slots that untrusted clients can't keep from trusted ones.
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

	// HoldingSlots is the room for rejected connections, until their first message is answered.
	HoldingSlots int `key:"door-lobby" default:"16" validate:"gte=1,lte=1024"`
	// RememberedAddresses is how many addresses are remembered without a connection.
	RememberedAddresses int `key:"door-remember" default:"4096" validate:"gte=64,lte=1000000"`

	// RequestsToTrust is how many requests have to finish, in as many seconds at least, to make an
	// address trusted.
	RequestsToTrust int `key:"door-earn" default:"3" validate:"gte=1,lte=60"`
	// ReputationHalfLife is the time in which what an address has earned is halved.
	ReputationHalfLife time.Duration `key:"door-forget" default:"10m" validate:"gte=1s,lte=24h"`

	// The least and the most that a rejected client is told to wait; it doubles from one to the
	// other.
	MinRetryAfter time.Duration `key:"door-come-back" default:"200ms" validate:"gte=1ms,lte=1h"`
	MaxRetryAfter time.Duration `key:"door-come-back-most" default:"10s" validate:"gtefield=MinRetryAfter,lte=1h"`

	// CoreShare is the part of a core that arrivals may take.
	CoreShare Fraction `key:"door-share" default:"10%" validate:"gte=0.01,lte=1"`
}

// FleetSettings are those of a fleet whose servers talk to each other.
type FleetSettings struct {
	Enabled bool `key:"fleet"`
	// ListenAddress is for the other servers, ControlAddress for operators.
	ListenAddress  string `key:"fleet-listen" validate:"required_if=Enabled true,omitempty,tcp_addr"`
	ControlAddress string `key:"fleet-control" validate:"omitempty,tcp_addr"`
	// Voters are name=address, the same on all servers.
	Voters []string `key:"fleet-voters" validate:"required_if=Enabled true,max=15"`
	// JoinAddresses are those of further servers to look for.
	JoinAddresses []string `key:"fleet-join" validate:"max=256,dive,tcp_addr"`

	// LeaseDuration is how long a server may act without hearing from the leader.
	LeaseDuration time.Duration `key:"fleet-lease" default:"6s" validate:"gte=1s,lte=10m"`
	// CatchUpTimeout is how long a server may be behind before it is fenced.
	CatchUpTimeout time.Duration `key:"fleet-behind" default:"10s" validate:"gte=1s,lte=1h"`
	// FallbackMode is what a server does when it hears nothing.
	FallbackMode FallbackMode `key:"fleet-silent" default:"keep" validate:"oneof=keep shield leave"`
	// MaxUnavailable is the part of the fleet that may be out of service for that, or because it is
	// behind.
	MaxUnavailable Fraction `key:"fleet-most-out" default:"25%" validate:"gte=0,lte=1"`
	// ForgetAfter is how long a server is silent before its name is nobody's.
	ForgetAfter time.Duration `key:"fleet-forget" default:"10m" validate:"gtefield=LeaseDuration,lte=24h"`

	// WaveDuration is the least time that a wave of a release's rollout lasts.
	WaveDuration time.Duration `key:"fleet-wave" default:"30s" validate:"gte=0s,lte=1h"`
	// HaltConfidence is how sure it has to be that a release does harm for it to be rolled back.
	HaltConfidence Fraction `key:"fleet-halt" default:"99.99%" validate:"gte=0.5,lte=1"`

	// SharedHealthChecks has servers judge together the service that they call.
	SharedHealthChecks bool `key:"fleet-below"`
	// SharedCounters has the requests of the whole fleet counted, by tenant and class.
	SharedCounters bool   `key:"fleet-counts"`
	Zone           string `key:"fleet-zone" validate:"max=64"`
}

// FallbackMode is what a server does once its lease has run out because it hears nothing from the
// leader.
type FallbackMode string

// The fallback modes, in the words of the operator's file.
const (
	// FallbackNormal goes on with the settings that it has.
	FallbackNormal FallbackMode = "keep"
	// FallbackSafeDefaults goes on with the safe defaults in place of what was released.
	FallbackSafeDefaults FallbackMode = "shield"
	// FallbackOutOfService takes itself out of service.
	FallbackOutOfService FallbackMode = "leave"
)

// ReplicationSettings are those of the state that several servers of a fleet keep. They have to be
// the same on all.
type ReplicationSettings struct {
	// Replicas are name/zone/weight, of which the last two may be missing.
	Replicas []string `key:"replica-holders" validate:"max=64"`
	// KeyedClasses are the classes whose requests bear an idempotency key as their subject.
	KeyedClasses []string `key:"replica-keyed" validate:"max=64"`

	// ReplicationFactor is how many replicas keep each key; most of them have to grant it.
	ReplicationFactor int `key:"replica-copies" default:"3" validate:"gte=1,lte=7"`
	// RetentionWindow is the time in which a repeat never runs again.
	RetentionWindow time.Duration `key:"replica-window" default:"1m" validate:"gte=1s,lte=24h"`
	MaxRecords      int           `key:"replica-records" default:"100000" validate:"gte=1000,lte=10000000"`
	MaxMemoryMB     int           `key:"replica-memory-mb" default:"64" validate:"gte=1,lte=65536"`

	// SharedTrust has clients that are trusted by one server be so by others after a restart.
	SharedTrust bool `key:"replica-callers"`
	// CatchUpRateKB is how many kilobytes a second a replica takes in to catch up.
	CatchUpRateKB int `key:"replica-rate-kb" default:"4096" validate:"gte=16,lte=1048576"`
}

// QuotaSettings are those of quotas of the whole fleet, which servers hold in leased shares. They
// may be released.
type QuotaSettings struct {
	// Limits are tenant/NAME=RATE and calls=NUMBER.
	Limits []string `key:"budget" validate:"max=16384"`
	// FloorFraction is the part of each quota that is split evenly, for servers that hear nothing.
	FloorFraction Fraction `key:"budget-floor" default:"10%" validate:"gte=0.01,lte=0.9"`
	// MaxServers is the most servers that there may be at a time; quotas are off where it is 0.
	MaxServers int `key:"budget-servers" default:"0" validate:"gte=0,lte=4096"`
}

// ForwardingSettings are those of a forwarder.
type ForwardingSettings struct {
	// Workers are name=address.
	Workers []string `key:"forward-to" validate:"max=4096"`
	// MaxInFlight is how many requests may be at workers at a time; 0 stands for as many as their
	// cores.
	MaxInFlight int `key:"forward-slots" default:"0" validate:"gte=0,lte=1000000"`
}

// Fraction is a part of something, from 0 to 1; the file has it as a number of percent.
type Fraction float64
