package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"os"
	"slices"
	"strings"
	"time"

	"swiftcourse/internal/config"
	"swiftcourse/internal/fleet"
	"swiftcourse/internal/forwarder"
	"swiftcourse/internal/lifecycle"
	"swiftcourse/internal/policy/loadplan"
	"swiftcourse/internal/policy/quota"
	"swiftcourse/internal/policy/serving"
	"swiftcourse/internal/server"
)

// This file is the two-level fleet's part of the wiring: a forwarder's workers, and a planner.

// EnableForwarding has a server pass its tasks on to the workers that the operator's file names.
func (p *parts) EnableForwarding(start *config.Startup, own *config.OperatorSettings, loop *server.Server) error {
	if len(own.Forwarding.Workers) == 0 {
		return errors.New("forward-to: names no workers")
	}
	var workers []forwarder.Worker
	for _, text := range own.Forwarding.Workers {
		name, addr, ok := strings.Cut(text, "=")
		if !ok || name == "" || addr == "" || slices.ContainsFunc(workers, func(w forwarder.Worker) bool { return w.Name == name }) {
			return fmt.Errorf("forward-to: %q is no name=address, or a name that is there already", text)
		}
		workers = append(workers, forwarder.Worker{Name: name, Addr: addr})
	}
	if start.Settings.Cores *= len(workers); own.Forwarding.MaxInFlight > 0 {
		start.Settings.Cores = own.Forwarding.MaxInFlight
	}
	p.dispatcher = forwarder.Start(forwarder.Config{
		Workers:           workers,
		Classes:           start.Settings.Classes,
		Seed:              forwarder.SeedFor(start.Name, start.Seed),
		SlowStartSpeed:    start.Settings.SlowStart.InitialSpeed,
		SlowStartSeconds:  start.WorkerSlowStartDuration,
		Now:               loop.Now,
		OnResults:         loop.HandleForwardResults,
		OnWorkerAvailable: loop.HandleWorkerAvailable,
	})
	loop.EnableForwarding(p.dispatcher.Dispatch, p.dispatcher.Cancel)
	slog.Info("forwarder", "workers", len(workers), "slots", start.Settings.Cores)
	return nil
}

// plans is a forwarder's part in plans, nil for who forwards nothing.
func (p *parts) plans(start *config.Startup, clock *fleet.Clock) *fleet.LoadPlanConfig {
	if p.dispatcher == nil {
		return nil
	}
	var last loadplan.Version
	return &fleet.LoadPlanConfig{
		Report: func(float64) *loadplan.Report { return p.dispatcher.TakeReport() },
		OnAssignment: func(part *loadplan.Assignment, until float64) {
			if part.Version.ClusterID != last.ClusterID || part.Version.Term != last.Term {
				slog.Info("fleet_plan", "founding", part.Version.ClusterID, "term", part.Version.Term, "seq", part.Version.Sequence, "weights", len(part.Weights), "rates", len(part.RateLimits))
			}
			last = part.Version
			till := clock.ToSource(until)
			p.dispatcher.ApplyPlan(part.WeightsByName(), till)
			p.allow(func() { p.planned = rates(part, start, till) })
		},
	}
}

// rates is what a plan lets in of each tenant. Once it is over all may come in again, hence a floor without bound and a part that takes it away until
// then: what workers can't do they turn away themselves.
func rates(part *loadplan.Assignment, start *config.Startup, till float64) (list []serving.Allowance) {
	for _, d := range part.RateLimits {
		if at, known := start.TenantIndex[d.Tenant]; known {
			list = append(list, serving.Allowance{Name: "plan/" + d.Tenant, Tenant: at, FleetMax: math.MaxInt32, Guaranteed: math.MaxInt32, LeasedShare: d.Rate - math.MaxInt32, LeaseExpiry: till,
				BurstSeconds: quota.BurstSeconds})
		}
	}
	return list
}

// RunPlanner is a planner: a voter of the fleet that serves nothing.
func (p *parts) RunPlanner(name string, own *config.OperatorSettings, signals lifecycle.Signals) error {
	if !own.Fleet.Enabled {
		return errors.New("fleet: a planner needs it on")
	}
	from := time.Now()
	unix := float64(from.UnixMicro()) / 1e6
	now := func() float64 { return unix + time.Since(from).Seconds() }
	voters, err := votersOf(name, own)
	if err != nil {
		return err
	}
	if voters[name] == "" {
		return fmt.Errorf("fleet-voters: %s is none; a planner is", name)
	}
	clock, translateAddr, err := forTests(now)
	if err != nil {
		return err
	}
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	f, err := fleet.Start(ctx, fleet.Config{
		Name:            name,
		ListenAddr:      own.Fleet.ListenAddress,
		Voters:          voters,
		JoinAddrs:       own.Fleet.JoinAddresses,
		Seed:            from.UnixNano(),
		Build:           build(),
		Clock:           clock,
		Lease:           fleet.LeaseConfig{Terms: memberTerms(own), Fallback: serving.ModeNormal},
		Rollout:         rollout(own),
		LoadPlan:        &fleet.LoadPlanConfig{IsPlanner: true},
		CountersEnabled: own.Fleet.SharedCounters,
		Apply: func(text string) error {
			_, err := own.WithRelease("released", text)
			return err
		},
		Publish: func(*serving.Directive) {},
		Hooks:   fleet.Hooks{TranslateAddr: translateAddr},
	})
	if err != nil {
		return err
	}
	if own.Fleet.ControlAddress != "" {
		if err := f.ServeControl(ctx, own.Fleet.ControlAddress); err != nil {
			return fmt.Errorf("fleet-control: %w", err)
		}
	}
	slog.Info("fleet", "name", name, "listen", own.Fleet.ListenAddress, "control", own.Fleet.ControlAddress, "voters", len(voters), "build", build(), "plans", true)
	done := make(chan struct{})
	signals.Handle(lifecycle.Handlers{Stop: func() { close(done) }})
	<-done
	f.Stop()
	return nil
}

// plans tells how plans stand at one process.
func (o *operator) plans() error {
	s, err := fleet.FetchLoadPlan(o.At)
	if err != nil {
		return err
	}
	if o.Plans.JSON {
		return json.NewEncoder(os.Stdout).Encode(s)
	}
	number := func(n loadplan.Version) string { return fmt.Sprintf("%d.%d.%d", n.ClusterID, n.Term, n.Sequence) }
	if m := s.Planner; m != nil {
		t := table()
		fmt.Fprintln(t, "forwarder\theard s ago\tasked for, a second\tgoes by")
		for _, f := range m.Forwarders {
			fmt.Fprintf(t, "%s\t%.1f\t%.1f\t%s\n", f.Name, f.ReportAgeSeconds, f.Demand, number(f.Version))
		}
		fmt.Fprintln(t, "worker\tseen s ago\tcan do, a second\t")
		for _, w := range m.Workers {
			fmt.Fprintf(t, "%s\t%.1f\t%.1f\t\n", w.Name, w.LastConnectedAgeSeconds, w.Capacity)
		}
		if err := t.Flush(); err != nil {
			return err
		}
		if m.AdmittedRate > 0 {
			fmt.Printf("more is asked for than workers can do: %.1f a second are let in\n", m.AdmittedRate)
		}
		fmt.Printf("%s leads, its plan is %s; %d not solved in their bounds, %d reports refused\n", s.Name, number(m.Version), m.Fallbacks, m.InvalidReports)
		return nil
	}
	if s.Current != (loadplan.Version{}) {
		fmt.Printf("%s goes by plan %s, fresh for %.1f s; %d parts of plans were stale\n", s.Name, number(s.Current), s.FreshFor, s.Stale)
	}
	fmt.Println("plans are made by", s.Leader)
	return nil
}
