package simulation

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"swiftcourse/admission"
)

// Scenario is what Run simulates. Times are in seconds.
type Scenario struct {
	Name             string     `json:"name"`
	Seed             uint64     `json:"seed"`
	Seconds          float64    `json:"seconds"`
	Servers          int        `json:"servers"`
	Cores            int        `json:"cores"` // of each server
	Load             float64    `json:"load"`  // requested, over what all cores can do
	Balancer         Balancer   `json:"balancer"`
	MaxAttempts      int        `json:"tries"`    // of a request
	Delay            float64    `json:"delay"`    // of a message, one way, on average
	HealthDelay      float64    `json:"lag"`      // until balancers know that a server's health changed
	SlowStartSeconds float64    `json:"cold_for"` // for which a restarted server is slow
	InitialSpeed     float64    `json:"cold_from"`
	Classes          []Class    `json:"stages"`
	Faults           []Fault    `json:"faults"`
	Downstream       Downstream `json:"below"`
}

// Downstream is the dependency that all servers share. Without cores there is none, and no class
// may call it.
type Downstream struct {
	Cores int     `json:"cores"`
	Work  float64 `json:"work"` // of a core, for a call, on average
}

// Class is a class of requests.
type Class struct {
	Name            string  `json:"name"`
	Share           float64 `json:"part"` // of all requests; the shares add up to 1
	Work            float64 `json:"work"` // of a core, on average; it is drawn exponentially
	SoftDeadline    float64 `json:"due"`
	Timeout         float64 `json:"limit"`
	Value           float64 `json:"utility"`
	CallsDownstream bool    `json:"calls"` // halfway through its work
}

// FaultKind is a kind of fault of a scenario.
type FaultKind string

// The kinds of faults. A server that crashed or drained restarts after the fault's duration.
const (
	faultCrash          FaultKind = "crash"
	faultSlow           FaultKind = "slow"
	faultDrain          FaultKind = "drain"
	faultDownstreamSlow FaultKind = "below-slow"
	faultDownstreamDead FaultKind = "below-dead"
)

var faultKinds = []FaultKind{faultCrash, faultSlow, faultDrain, faultDownstreamSlow, faultDownstreamDead}

// needsFactor reports whether a kind changes a speed.
func (k FaultKind) needsFactor() bool { return k == faultSlow || k == faultDownstreamSlow }

// Fault is a fault of a server or of the dependency.
type Fault struct {
	At       float64   `json:"at"`
	Kind     FaultKind `json:"kind"`
	Server   int       `json:"server"`
	Duration float64   `json:"for"`
	Factor   float64   `json:"factor"` // of slow kinds: what is left of the speed
}

// ParseScenario parses a scenario. The error names the first key that is wrong.
func ParseScenario(text []byte) (*Scenario, error) {
	scenario := &Scenario{Balancer: RoundRobin, MaxAttempts: 3, Delay: 0.0005, HealthDelay: 1, InitialSpeed: 1}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(scenario); err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	return scenario, scenario.validate()
}

// validate returns an error that names the first key that is wrong.
func (s *Scenario) validate() error {
	for _, check := range []func() error{s.validateClasses, s.validateDownstream, s.validateFaults, s.validateLimits} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Scenario) validateClasses() error {
	for i, class := range s.Classes {
		if class.Name == "" || class.Share <= 0 || class.Work <= 0 || class.SoftDeadline <= 0 ||
			class.Timeout < class.SoftDeadline || class.Value <= 0 {
			return fmt.Errorf("stages[%d]: needs a name, part, work, due and utility over 0, "+
				"and a limit from due on", i)
		}
	}
	return nil
}

func (s *Scenario) validateDownstream() error {
	calls := slices.IndexFunc(s.Classes, func(class Class) bool { return class.CallsDownstream })
	if calls >= 0 && s.Downstream.Cores == 0 {
		return fmt.Errorf("stages[%d].calls: there is nothing below", calls)
	}
	if s.Downstream.Cores < 0 || s.Downstream.Cores > 0 && s.Downstream.Work <= 0 {
		return errors.New("below: needs work over 0, and cores from 0 on")
	}
	return nil
}

func (s *Scenario) validateFaults() error {
	for i, fault := range s.Faults {
		if !slices.Contains(faultKinds, fault.Kind) || fault.Server < 0 || fault.Server >= s.Servers || fault.At < 0 ||
			fault.Duration < 0 || fault.Kind.needsFactor() && (fault.Factor <= 0 || fault.Factor > 1) {
			return fmt.Errorf("faults[%d]: needs a kind of %v, a server from 0 to %d, times from 0 on, "+
				"and for slow a factor over 0 and at most 1", i, faultKinds, s.Servers-1)
		}
	}
	return nil
}

func (s *Scenario) validateLimits() error {
	shares := 0.0
	for _, class := range s.Classes {
		shares += class.Share
	}
	switch {
	case s.Seconds <= 0 || s.Seconds > 86400:
		return fmt.Errorf("seconds: %g is not over 0 and at most 86400", s.Seconds)
	case s.Servers < 1 || s.Servers > 10_000:
		return fmt.Errorf("servers: %d is not from 1 to 10000", s.Servers)
	case s.Cores < 1 || s.Cores > 256:
		return fmt.Errorf("cores: %d is not from 1 to 256", s.Cores)
	case s.Load <= 0 || s.Load > 100:
		return fmt.Errorf("load: %g is not over 0 and at most 100", s.Load)
	case !slices.Contains(balancers, s.Balancer):
		return fmt.Errorf("balancer: %q is none of %v", s.Balancer, balancers)
	case s.MaxAttempts < 1 || s.MaxAttempts > 100:
		return fmt.Errorf("tries: %d is not from 1 to 100", s.MaxAttempts)
	case s.Delay < 0 || s.HealthDelay < 0 || s.SlowStartSeconds < 0:
		return errors.New("delay, lag, cold_for: not under 0")
	case s.InitialSpeed <= 0 || s.InitialSpeed > 1:
		return fmt.Errorf("cold_from: %g is not over 0 and at most 1", s.InitialSpeed)
	case len(s.Classes) == 0 || shares < 0.999 || shares > 1.001:
		return fmt.Errorf("stages: their parts add up to %g, not to 1", shares)
	}
	return nil
}

// arrivalRate is the number of requests a second.
func (s *Scenario) arrivalRate() float64 {
	meanWork := 0.0
	for _, class := range s.Classes {
		meanWork += class.Share * class.Work
	}
	return s.Load * float64(s.Servers*s.Cores) / meanWork
}

const (
	// A server falls over that has more than maxRunsPerCore runs a core for longer than
	// overloadWindow seconds.
	maxRunsPerCore = 8
	overloadWindow = 1.0
	// drainTimeout is how long a server has from the start of its drain to its kill.
	drainTimeout = 3.0
	// drainGracePeriod is for how long after that start it may still start runs of requests that
	// arrived before.
	drainGracePeriod = 1.0
	// answerTolerance is how much later than its deadline an answer may come.
	answerTolerance = 0.05
	// requestMemory is what a request takes while it is held, in KB, and serverMemory what a server
	// has.
	requestMemory = 10
	serverMemory  = 1e6
	// lateValue is the value of an answer after the soft deadline.
	lateValue = 0.2
)

// admissionSettings are the settings of each server's admission control. A restarted server is slow at
// first.
func (s *Scenario) admissionSettings(isRestart bool) admission.Settings {
	settings := admission.Settings{
		Servers:             s.Servers,
		Clients:             1,
		Cores:               s.Cores,
		DrainGracePeriod:    drainGracePeriod,
		DeadlineTolerance:   answerTolerance,
		Concurrency:         admission.ConcurrencySettings{PerCore: maxRunsPerCore, Window: overloadWindow},
		Memory:              admission.MemorySettings{Limit: serverMemory, RunningFactor: 1},
		DeadlinePropagation: true,
		MaxRetryAfter:       1,
		IdleTimeout:         60,
	}
	if s.Downstream.Cores > 0 {
		settings.Downstream.Kind = admission.SharedDependency
		settings.Downstream.CallWindow = 1
		settings.Downstream.CallLimit = maxRunsPerCore * float64(s.Downstream.Cores) / float64(s.Servers)
	}
	if isRestart {
		settings.SlowStart.InitialSpeed = s.InitialSpeed
		settings.SlowStart.Duration = s.SlowStartSeconds
	}
	for _, class := range s.Classes {
		settings.Classes = append(settings.Classes, admission.Class{
			SoftDeadline:    class.SoftDeadline,
			Timeout:         class.Timeout,
			Value:           class.Value,
			LateValue:       lateValue,
			CallsDownstream: class.CallsDownstream,
		})
	}
	return settings
}
