package main

import (
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"strings"

	"swiftcourse/internal/config"
	"swiftcourse/internal/fleet"
	"swiftcourse/internal/policy/replication"
	"swiftcourse/internal/server"
)

// Keys of the operator's file for replication.
const (
	replicasKey     = "replica-holders"
	keyedClassesKey = "replica-keyed"
)

// minMaxClaimSeconds is the lower bound of the maximum duration of a claim. The maximum has to be the
// same on all replicas, also on those that serve no keyed class: see docs/replication.md.
const minMaxClaimSeconds = 1

// bytesPerKB converts the catch-up rate from kilobytes to bytes per second.
const bytesPerKB = 1024

// replicationConfig returns the fleet agent's configuration of replicated state, or nil if the
// operator's file lists no replicas.
func replicationConfig(
	startup *config.Startup, operator *config.OperatorSettings, srv *server.Server,
) (*fleet.ReplicationConfig, error) {
	settings := &operator.Replication
	if len(settings.Replicas) == 0 {
		if len(settings.KeyedClasses) > 0 {
			return nil, &config.FieldError{Key: keyedClassesKey, Reason: "requires " + replicasKey + " to be set"}
		}
		return nil, nil
	}
	members, err := parseMembers(settings.Replicas)
	if err != nil {
		return nil, err
	}
	maxClaimDuration, err := maxClaimSeconds(settings.KeyedClasses, startup)
	if err != nil {
		return nil, err
	}
	placement, err := replication.NewPlacement(replication.Config{
		Members:           members,
		ReplicationFactor: settings.ReplicationFactor,
		RetentionWindow:   settings.RetentionWindow.Seconds(),
		MaxClaimDuration:  maxClaimDuration,
	})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", replicasKey, err)
	}
	return &fleet.ReplicationConfig{
		Placement:             placement,
		MaxRecords:            settings.MaxRecords,
		MaxBytes:              settings.MaxMemoryMB << 20,
		CatchUpBytesPerSecond: float64(settings.CatchUpRateKB) * bytesPerKB,
		OnVerdict:             srv.HandleClaimVerdict,
	}, nil
}

// parseMembers parses replicas of the form name/zone/weight. Zone and weight are optional.
func parseMembers(replicas []string) ([]replication.Member, error) {
	var members []replication.Member
	for _, text := range replicas {
		parts := strings.Split(text, "/")
		member := replication.Member{Name: parts[0], Weight: 1}
		if len(parts) > 1 {
			member.Zone = parts[1]
		}
		if len(parts) > 2 {
			weight, err := strconv.ParseFloat(parts[2], 64)
			if err != nil || len(parts) > 3 {
				return nil, &config.FieldError{
					Key:    replicasKey,
					Value:  text,
					Reason: "is not of the form name/zone/weight with a number as weight",
				}
			}
			member.Weight = weight
		}
		members = append(members, member)
	}
	return members, nil
}

// maxClaimSeconds returns the maximum duration of a claim: the longest timeout of the keyed
// classes, but at least minMaxClaimSeconds.
func maxClaimSeconds(keyedClasses []string, startup *config.Startup) (float64, error) {
	longest := 0.0
	for _, name := range keyedClasses {
		index := slices.Index(startup.ClassNames, name)
		if index < 0 {
			return 0, &config.FieldError{Key: keyedClassesKey, Value: name, Reason: "is not a class of this deployment"}
		}
		longest = max(longest, startup.Settings.Classes[index].Timeout)
	}
	return max(longest, minMaxClaimSeconds), nil
}

// connectReplication makes the server claim the idempotency keys of its requests with the replicas.
func connectReplication(
	node *fleet.Node, replicas *fleet.ReplicationConfig, operator *config.OperatorSettings, srv *server.Server,
) {
	settings := &operator.Replication
	srv.EnableKeyClaims(node, settings.KeyedClasses, settings.RetentionWindow.Seconds())
	slog.Info("replication_enabled",
		"replicas", len(replicas.Placement.Members),
		"replication_factor", replicas.Placement.ReplicationFactor,
		"quorum", replicas.Placement.Quorum,
		"keyed_classes", strings.Join(settings.KeyedClasses, ","),
	)
}
