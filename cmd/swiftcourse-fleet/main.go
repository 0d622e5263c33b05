// Command swiftcourse-fleet is the real server with its fleet's parts; swiftcourse becomes it where a fleet is asked for.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"swiftcourse/internal/cli"
	"swiftcourse/internal/config"
	"swiftcourse/internal/fleet"
	"swiftcourse/internal/forwarder"
	"swiftcourse/internal/policy/lease"
	"swiftcourse/internal/policy/quota"
	"swiftcourse/internal/policy/release"
	"swiftcourse/internal/policy/replication"
	"swiftcourse/internal/policy/serving"
	"swiftcourse/internal/server"
)

func main() { cli.Main(&parts{}) }

// parts are the fleet's parts of this process.
type parts struct {
	mu       sync.Mutex // own and released change by an operator's signal and by a release
	own      *config.OperatorSettings
	released string
	server   *server.Server
	start    *config.Startup
	terms    quota.Config // of the budgets that all share, as own and released say

	parted []serving.Allowance // parts of budgets
	held   fleet.CallLimit     // calls below

	planned    []serving.Allowance   // what a plan lets in
	dispatcher *forwarder.Dispatcher // nil for who forwards nothing
}

// build tells builds of the program apart: what the version control says, or what was given in SWIFTCOURSE_BUILD.
func build() string {
	if given := os.Getenv("SWIFTCOURSE_BUILD"); given != "" {
		return given
	}
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				return s.Value[:min(12, len(s.Value))]
			}
		}
	}
	return "unknown"
}

// Start begins the fleet's part.
func (p *parts) Start(start *config.Startup, own *config.OperatorSettings, loop *server.Server) error {
	p.own, p.server, p.start, p.held.MaxInFlight = own, loop, start, math.Inf(1)
	// One more than Fit gives: a message from a peer must not wait for the loop's turn, nor a turn for it.
	runtime.GOMAXPROCS(runtime.GOMAXPROCS(0) + 1)
	voters, err := votersOf(start.Name, own)
	if err != nil {
		return err
	}
	clock, translateAddr, err := forTests(loop.Now)
	if err != nil {
		return err
	}
	silent := map[config.FallbackMode]serving.Mode{
		config.FallbackNormal:       serving.ModeNormal,
		config.FallbackSafeDefaults: serving.ModeSafeDefaults,
		config.FallbackOutOfService: serving.ModeOutOfService,
	}[own.Fleet.FallbackMode]
	kept, err := copies(start, own, loop)
	if err != nil {
		return err
	}
	var callers *fleet.TrustConfig
	if own.Replication.SharedTrust {
		if !own.ConnLimit.Enabled {
			return errors.New("replica-callers: needs door on")
		}
		callers = &fleet.TrustConfig{Retention: own.ConnLimit.ReputationHalfLife.Seconds(), MaxClients: own.ConnLimit.RememberedAddresses / 4, OnTrusted: loop.AddTrustedClients}
	}
	shared, err := p.budgets(start, clock)
	if err != nil {
		return err
	}
	f, err := fleet.Start(context.Background(), fleet.Config{
		Name:            start.Name,
		ListenAddr:      own.Fleet.ListenAddress,
		Voters:          voters,
		JoinAddrs:       own.Fleet.JoinAddresses,
		Seed:            start.Seed,
		Build:           build(),
		Clock:           clock,
		Lease:           fleet.LeaseConfig{Terms: memberTerms(own), Fallback: silent},
		Rollout:         rollout(own),
		Replication:     kept,
		Trust:           callers,
		Quotas:          shared,
		Health:          p.below(),
		LoadPlan:        p.plans(start, clock),
		CountersEnabled: own.Fleet.SharedCounters,
		Apply:           p.apply,
		Publish: func(to *serving.Directive) {
			here := *to
			here.ChangesAt = clock.ToSource(to.ChangesAt)
			loop.SetDirective(&here)
		},
		Hooks: fleet.Hooks{TranslateAddr: translateAddr, TracePoint: dieAt()},
	})
	if err != nil {
		return err
	}
	if kept != nil {
		loop.EnableKeyClaims(f, own.Replication.KeyedClasses, own.Replication.RetentionWindow.Seconds())
		slog.Info("fleet_replica", "holders", len(kept.Placement.Members), "copies", kept.Placement.ReplicationFactor, "need", kept.Placement.Quorum, "keyed", strings.Join(own.Replication.KeyedClasses, ","))
	}
	if shared != nil || own.Fleet.SharedHealthChecks || p.dispatcher != nil {
		loop.EnableQuota(func(list []server.QuotaUsage) { f.ReportUsage(uses(list)) })
	}
	if own.Fleet.SharedHealthChecks {
		loop.ReportUpstreamCalls(f.ReportCalls)
		slog.Info("fleet_below", "is", "judged", "zone", own.Fleet.Zone)
	}
	if shared != nil {
		slog.Info("fleet_budgets", "budgets", len(own.Quota.Limits), "floor", float64(own.Quota.FloorFraction), "servers", own.Quota.MaxServers)
	}
	if p.dispatcher != nil {
		loop.ReportCounters(func(list []serving.CounterCell) bool {
			told := !own.Fleet.SharedCounters || f.ReportCounts(list)
			if told {
				p.dispatcher.RecordDemand(list)
			}
			return told
		})
	} else if own.Fleet.SharedCounters {
		loop.ReportCounters(f.ReportCounts)
	}
	if own.Fleet.SharedCounters {
		slog.Info("fleet_counts", "keepers", len(voters))
	}
	if callers != nil {
		loop.ReportTrustedClients(f.ReportTrusted, replication.MaxTrustedClients)
	}
	if own.Fleet.ControlAddress != "" {
		if err := f.ServeControl(context.Background(), own.Fleet.ControlAddress); err != nil {
			return fmt.Errorf("fleet-control: %w", err)
		}
	}
	slog.Info("fleet", "name", start.Name, "life", strconv.FormatUint(f.Incarnation(), 16), "listen", own.Fleet.ListenAddress, "control", own.Fleet.ControlAddress,
		"voters", len(voters), "silent", own.Fleet.FallbackMode, "build", build())
	return nil
}

// votersOf are the voters that the operator's file of a process names, and where they listen.
func votersOf(name string, own *config.OperatorSettings) (map[string]string, error) {
	voters := map[string]string{}
	for _, v := range own.Fleet.Voters {
		voter, addr, ok := strings.Cut(v, "=")
		if !ok || voter == "" || voters[voter] != "" {
			return nil, fmt.Errorf("fleet-voters: %q is no name=address, or a name that is there already", v)
		}
		voters[voter] = addr
	}
	if addr, votes := voters[name]; votes && addr != own.Fleet.ListenAddress {
		return nil, fmt.Errorf("fleet-voters: %s is said to listen on %s, fleet-listen says %s", name, addr, own.Fleet.ListenAddress)
	}
	return voters, nil
}

func memberTerms(own *config.OperatorSettings) lease.Config {
	return lease.Config{Duration: own.Fleet.LeaseDuration.Seconds(), CatchUpTimeout: own.Fleet.CatchUpTimeout.Seconds(), MaxUnavailable: float64(own.Fleet.MaxUnavailable), ForgetAfter: own.Fleet.ForgetAfter.Seconds()}
}

func rollout(own *config.OperatorSettings) release.RolloutPolicy {
	return release.RolloutPolicy{WaveSeconds: own.Fleet.WaveDuration.Seconds(), HaltConfidence: float64(own.Fleet.HaltConfidence)}
}

// copies is what the operator's file says of the state that several servers keep, nil where it says nothing.
func copies(start *config.Startup, own *config.OperatorSettings, loop *server.Server) (*fleet.ReplicationConfig, error) {
	if len(own.Replication.Replicas) == 0 {
		if len(own.Replication.KeyedClasses) > 0 {
			return nil, errors.New("replica-keyed: needs replica-holders")
		}
		return nil, nil
	}
	terms := replication.Config{ReplicationFactor: own.Replication.ReplicationFactor, RetentionWindow: own.Replication.RetentionWindow.Seconds()}
	for _, text := range own.Replication.Replicas {
		words := strings.Split(text, "/")
		m := replication.Member{Name: words[0], Weight: 1}
		if len(words) > 1 {
			m.Zone = words[1]
		}
		if len(words) > 2 {
			var err error
			if m.Weight, err = strconv.ParseFloat(words[2], 64); err != nil || len(words) > 3 {
				return nil, fmt.Errorf("replica-holders: %q is no name/zone/weight", text)
			}
		}
		terms.Members = append(terms.Members, m)
	}
	for _, name := range own.Replication.KeyedClasses {
		i := slices.Index(start.ClassNames, name)
		if i < 0 {
			return nil, fmt.Errorf("replica-keyed: there is no stage %q", name)
		}
		terms.MaxClaimDuration = max(terms.MaxClaimDuration, start.Settings.Classes[i].Timeout)
	}
	terms.MaxClaimDuration = max(terms.MaxClaimDuration, 1) // a holder that serves no such stage itself must be told the same: see docs/replication.md
	place, err := replication.NewPlacement(terms)
	if err != nil {
		return nil, fmt.Errorf("replica-holders: %w", err)
	}
	return &fleet.ReplicationConfig{Placement: place, MaxRecords: own.Replication.MaxRecords, MaxBytes: own.Replication.MaxMemoryMB << 20, CatchUpRate: float64(own.Replication.CatchUpRateKB) * 1024, OnVerdict: loop.HandleClaimVerdict}, nil
}

// apply has the server act on a released text over its own file.
func (p *parts) apply(text string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	conf, err := p.own.WithRelease("released", text)
	if err != nil {
		return err
	}
	terms, err := termsOf(conf, p.start)
	if err == nil && p.own.Quota.MaxServers == 0 && conf.Quota.MaxServers > 0 {
		err = errors.New("budget-servers: budgets are off in this server's own file, and can't be switched on while serving")
	}
	if err != nil {
		return err
	}
	if err := p.server.ApplyConfig(conf); err != nil {
		return err
	}
	p.released, p.terms = text, terms
	return nil
}

// Reload takes this server's own file again, under what is released.
func (p *parts) Reload(own *config.OperatorSettings) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conf, err := own.WithRelease("released", p.released)
	if err == nil {
		err = p.server.ApplyConfig(conf)
	}
	if err != nil {
		slog.Info("reload_rejected", "err", err)
		return
	}
	p.own = own
}

// forTests is what only tests set: SWIFTCOURSE_TEST_CLOCK=OFF,RATE has the fleet's clock so many seconds off, and run at that rate;
// SWIFTCOURSE_TEST_VIA=ADDR=RELAY,... has peers reached through relays.
func forTests(now func() float64) (clock *fleet.Clock, translateAddr func(string) string, err error) {
	off, rate := 0.0, 1.0
	if text := os.Getenv("SWIFTCOURSE_TEST_CLOCK"); text != "" {
		a, b, _ := strings.Cut(text, ",")
		var err1, err2 error
		off, err1 = strconv.ParseFloat(a, 64)
		rate, err2 = strconv.ParseFloat(b, 64)
		if err := errors.Join(err1, err2); err != nil || rate <= 0 {
			return nil, nil, fmt.Errorf("SWIFTCOURSE_TEST_CLOCK: %q is no OFF,RATE", text)
		}
	}
	via := map[string]string{}
	if text := os.Getenv("SWIFTCOURSE_TEST_VIA"); text != "" {
		for _, pair := range strings.Split(text, ",") {
			addr, relay, _ := strings.Cut(pair, "=")
			via[addr] = relay
		}
	}
	translateAddr = func(addr string) string {
		if relay, is := via[addr]; is {
			return relay
		}
		return addr
	}
	return fleet.NewClock(now, now(), off, rate), translateAddr, nil
}

// dieAt is for tests: SWIFTCOURSE_TEST_DIE=POINT,N,S kills the process as it passes a point for the Nth time, S seconds after its start.
func dieAt() func(fleet.TracePoint) {
	words := strings.Split(os.Getenv("SWIFTCOURSE_TEST_DIE"), ",")
	if len(words) != 3 {
		return nil
	}
	left, err := strconv.Atoi(words[1])
	after, err2 := strconv.ParseFloat(words[2], 64)
	if err != nil || err2 != nil {
		return nil
	}
	from := time.Now()
	return func(point fleet.TracePoint) {
		if point.String() == words[0] && time.Since(from).Seconds() >= after {
			if left--; left == 0 {
				_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
			}
		}
	}
}
