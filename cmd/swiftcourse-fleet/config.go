package main

import (
	"fmt"
	"os"
	"runtime/debug"
	"strings"

	"swiftcourse/internal/config"
	"swiftcourse/internal/fleet"
	"swiftcourse/internal/policy/lease"
	"swiftcourse/internal/policy/release"
	"swiftcourse/internal/policy/serving"
)

// Keys of the operator's file for the fleet.
const (
	fleetKey        = "fleet"
	listenKey       = "fleet-listen"
	fleetControlKey = "fleet-control"
	votersKey       = "fleet-voters"
)

// invalidAddressReason is the error text for an invalid entry in a list of processes.
const invalidAddressReason = "is not of the form name=address, or repeats an earlier name"

// buildVariable is the environment variable with the identifier of the program's build.
const buildVariable = "SWIFTCOURSE_BUILD"

const (
	// revisionSetting is the key of the version control revision in the program's build information.
	revisionSetting = "vcs.revision"
	// revisionLength is how many characters of the revision identify a build.
	revisionLength = 12
	// unknownBuild is the build identifier of a program without build information.
	unknownBuild = "unknown"
)

// fallbackModes maps the operator's setting to the mode of a server whose lease has expired.
var fallbackModes = map[config.FallbackMode]serving.Mode{
	config.FallbackNormal:       serving.ModeNormal,
	config.FallbackSafeDefaults: serving.ModeSafeDefaults,
	config.FallbackOutOfService: serving.ModeOutOfService,
}

// commonConfig returns the part of the configuration that is the same for the fleet agents of
// servers and of planners.
func commonConfig(name string, operator *config.OperatorSettings, voters map[string]string) *fleet.Config {
	settings := &operator.Fleet
	return &fleet.Config{
		Name:       name,
		ListenAddr: settings.ListenAddress,
		Voters:     voters,
		JoinAddrs:  settings.JoinAddresses,
		Build:      build(),
		Lease: fleet.LeaseConfig{Terms: lease.Config{
			LeaseSeconds:           settings.LeaseDuration.Seconds(),
			CatchUpTimeoutSeconds:  settings.CatchUpTimeout.Seconds(),
			MaxUnavailableFraction: float64(settings.MaxUnavailable),
			UnregisterAfterSeconds: settings.ForgetAfter.Seconds(),
		}},
		Rollout: release.RolloutPolicy{
			WaveSeconds:    settings.WaveDuration.Seconds(),
			HaltConfidence: float64(settings.HaltConfidence),
		},
		CountersEnabled: settings.SharedCounters,
	}
}

// parseVoters returns the voters' addresses in the operator's file, by name. If the process itself
// is a voter, it has to listen on the address of its entry.
func parseVoters(self string, operator *config.OperatorSettings) (map[string]string, error) {
	voters := map[string]string{}
	for _, text := range operator.Fleet.Voters {
		name, addr, found := strings.Cut(text, "=")
		if !found || name == "" || voters[name] != "" {
			return nil, &config.FieldError{
				Key:    votersKey,
				Value:  text,
				Reason: invalidAddressReason,
			}
		}
		voters[name] = addr
	}
	listen := operator.Fleet.ListenAddress
	if addr, isVoter := voters[self]; isVoter && addr != listen {
		return nil, &config.FieldError{
			Key:    votersKey,
			Reason: fmt.Sprintf("lists %s at %s, but %s is %q", self, addr, listenKey, listen),
		}
	}
	return voters, nil
}

// build returns the identifier of the program's build: the value of the environment variable, or
// else the revision of the source.
func build() string {
	if given := os.Getenv(buildVariable); given != "" {
		return given
	}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return unknownBuild
	}
	for _, setting := range info.Settings {
		if setting.Key == revisionSetting {
			return setting.Value[:min(revisionLength, len(setting.Value))]
		}
	}
	return unknownBuild
}
