package main

import (
	"swiftcourse/internal/config"
	"swiftcourse/internal/fleet"
	"swiftcourse/internal/policy/replication"
	"swiftcourse/internal/server"
)

// sharedTrustKey is the key of shared trusted clients in the operator's file.
const sharedTrustKey = "replica-callers"

// trustedClientsDivisor keeps the clients that other servers trust to a quarter of the addresses
// that the server remembers.
const trustedClientsDivisor = 4

// trustConfig returns the fleet agent's configuration of clients that other servers trust, nil if
// they are not shared.
func trustConfig(operator *config.OperatorSettings, srv *server.Server) (*fleet.TrustConfig, error) {
	if !operator.Replication.SharedTrust {
		return nil, nil
	}
	if !operator.ConnLimit.Enabled {
		return nil, &config.FieldError{Key: sharedTrustKey, Reason: "needs door on"}
	}
	return &fleet.TrustConfig{
		Retention:  operator.ConnLimit.ReputationHalfLife.Seconds(),
		MaxClients: operator.ConnLimit.RememberedAddresses / trustedClientsDivisor,
		OnTrusted:  srv.AddTrustedClients,
	}, nil
}

// connectTrust has the server report the clients that it trusts.
func connectTrust(node *fleet.Node, srv *server.Server) {
	srv.ReportTrustedClients(node.ReportTrusted, replication.MaxTrustedClients)
}
