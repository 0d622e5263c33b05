package main

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"swiftcourse/internal/config"
	"swiftcourse/internal/fleet"
	"swiftcourse/internal/lifecycle"
	"swiftcourse/internal/policy/serving"
)

// RunPlanner runs a load planner, a voter of the fleet that serves no requests, until a signal
// stops it.
func (p *fleetProgram) RunPlanner(name string, operator *config.OperatorSettings, signals lifecycle.Signals) error {
	started := time.Now()
	agentConfig, err := plannerConfig(name, operator, started)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	node, err := fleet.Start(ctx, *agentConfig)
	if err != nil {
		return err
	}
	if err := serveControl(ctx, node, operator); err != nil {
		return err
	}
	slog.Info("fleet_started",
		"name", name,
		"listen", operator.Fleet.ListenAddress,
		"control", operator.Fleet.ControlAddress,
		"voters", len(agentConfig.Voters),
		"build", agentConfig.Build,
		"planner", true,
	)
	stopped := make(chan struct{})
	signals.Handle(lifecycle.Handlers{Stop: func() { close(stopped) }})
	<-stopped
	node.Stop()
	return nil
}

// plannerConfig returns the configuration of a planner's fleet agent. A planner validates releases
// but does not apply them.
func plannerConfig(name string, operator *config.OperatorSettings, started time.Time) (*fleet.Config, error) {
	if !operator.Fleet.Enabled {
		return nil, &config.FieldError{Key: fleetKey, Reason: "is off; a planner requires it to be on"}
	}
	voters, err := parseVoters(name, operator)
	if err != nil {
		return nil, err
	}
	if voters[name] == "" {
		return nil, &config.FieldError{
			Key:    votersKey,
			Reason: fmt.Sprintf("does not list %q; a planner has to be a voter", name),
		}
	}
	hooks, err := loadTestHooks()
	if err != nil {
		return nil, err
	}
	agentConfig := commonConfig(name, operator, voters)
	agentConfig.Seed = started.UnixNano()
	agentConfig.Clock = hooks.newClock(unixClock(started))
	agentConfig.Lease.Fallback = serving.ModeNormal
	agentConfig.LoadPlan = &fleet.LoadPlanConfig{IsPlanner: true}
	agentConfig.Apply = func(release string) error {
		_, err := operator.WithRelease(releaseSource, release)
		return err
	}
	agentConfig.Publish = func(*serving.Directive) {}
	agentConfig.Hooks = fleet.Hooks{TranslateAddr: hooks.translateAddr}
	return agentConfig, nil
}

// unixClock returns a monotonic clock of Unix time, in seconds: the time of day at its start plus
// the time elapsed since then.
func unixClock(started time.Time) func() float64 {
	unix := float64(started.UnixMicro()) / 1e6
	return func() float64 { return unix + time.Since(started).Seconds() }
}
