package main

import (
	"swiftcourse/internal/config"
	"swiftcourse/internal/fleet"
	"swiftcourse/internal/policy/replication"
	"swiftcourse/internal/server"
)

// sharedTrustKey is the key of the operator's file for sharing trusted clients.
const sharedTrustKey = "replica-callers"

// trustedClientsDivisor limits the clients trusted by other servers to a quarter of the addresses
// that this server remembers.
const trustedClientsDivisor = 4

// trustConfig returns the fleet agent's configuration of clients that other servers trust, or nil if
// sharing is off.
func trustConfig(operator *config.OperatorSettings, srv *server.Server) (*fleet.TrustConfig, error) {
	if !operator.Replication.SharedTrust {
		return nil, nil
	}
	if !operator.ConnLimit.Enabled {
		return nil, &config.FieldError{Key: sharedTrustKey, Reason: "requires door to be on"}
	}
	return &fleet.TrustConfig{
		RetentionSeconds: operator.ConnLimit.ReputationHalfLife.Seconds(),
		MaxClients:       operator.ConnLimit.RememberedAddresses / trustedClientsDivisor,
		OnTrusted:        srv.AddTrustedClients,
	}, nil
}

// connectTrust makes the server report the clients that it trusts to the fleet agent.
func connectTrust(node *fleet.Node, srv *server.Server) {
	srv.ReportTrustedClients(node.ReportTrusted, replication.MaxTrustedClients)
}
