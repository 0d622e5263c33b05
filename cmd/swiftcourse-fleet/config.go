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

// votersKey names the voters in the operator's file.
const votersKey = "fleet-voters"

// buildVariable names the build of the program; without it the revision of the source does.
const buildVariable = "SWIFTCOURSE_BUILD"

const (
	// revisionSetting is the key of the version control's revision in a program's build information.
	revisionSetting = "vcs.revision"
	// revisionLength is how much of it tells builds apart.
	revisionLength = 12
	// unknownBuild is the build of a program without that information.
	unknownBuild = "unknown"
)

// fallbackModes are what a server does once its lease has expired.
var fallbackModes = map[config.FallbackMode]serving.Mode{
	config.FallbackNormal:       serving.ModeNormal,
	config.FallbackSafeDefaults: serving.ModeSafeDefaults,
	config.FallbackOutOfService: serving.ModeOutOfService,
}

// commonConfig returns the configuration that the fleet agents of servers and of planners share.
func commonConfig(name string, operator *config.OperatorSettings, voters map[string]string) *fleet.Config {
	settings := &operator.Fleet
	return &fleet.Config{
		Name:       name,
		ListenAddr: settings.ListenAddress,
		Voters:     voters,
		JoinAddrs:  settings.JoinAddresses,
		Build:      build(),
		Lease: fleet.LeaseConfig{Terms: lease.Config{
			Duration:       settings.LeaseDuration.Seconds(),
			CatchUpTimeout: settings.CatchUpTimeout.Seconds(),
			MaxUnavailable: float64(settings.MaxUnavailable),
			ForgetAfter:    settings.ForgetAfter.Seconds(),
		}},
		Rollout: release.RolloutPolicy{
			WaveSeconds:    settings.WaveDuration.Seconds(),
			HaltConfidence: float64(settings.HaltConfidence),
		},
		CountersEnabled: settings.SharedCounters,
	}
}

// parseVoters returns where the voters of the operator's file listen, by name. The process itself
// has to listen where its entry says.
func parseVoters(self string, operator *config.OperatorSettings) (map[string]string, error) {
	voters := map[string]string{}
	for _, text := range operator.Fleet.Voters {
		name, addr, found := strings.Cut(text, "=")
		if !found || name == "" || voters[name] != "" {
			return nil, &config.FieldError{
				Key:    votersKey,
				Value:  text,
				Reason: "is not name=address, or repeats a name",
			}
		}
		voters[name] = addr
	}
	listen := operator.Fleet.ListenAddress
	if addr, isVoter := voters[self]; isVoter && addr != listen {
		return nil, &config.FieldError{
			Key:    votersKey,
			Reason: fmt.Sprintf("%s is to listen on %s, but fleet-listen says %s", self, addr, listen),
		}
	}
	return voters, nil
}

// build returns what tells builds of the program apart: the environment's value, or the revision.
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
