package simulation

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"swiftcourse/admission"
)

// Scenario is the input of Run. Times are in seconds.
type Scenario struct {
	Name             string     `json:"name"`
	Seed             uint64     `json:"seed"`
	Seconds          float64    `json:"seconds"`
	Servers          int        `json:"servers"`
	Cores            int        `json:"cores"` // per server
	Load             float64    `json:"load"`  // offered load relative to the capacity of all cores
	Balancer         Balancer   `json:"balancer"`
	MaxAttempts      int        `json:"tries"`     // per request
	Delay            float64    `json:"delay"`     // mean one-way delay of a message
	HealthDelay      float64    `json:"lag"`       // from a change of a server's health until balancers know it
	SlowStartSeconds float64    `json:"cold_for"`  // duration of the slow start of a restarted server
	InitialSpeed     float64    `json:"cold_from"` // share of the normal speed during the slow start
	Classes          []Class    `json:"stages"`
	Faults           []Fault    `json:"faults"`
	Downstream       Downstream `json:"below"`
}

// Downstream is the dependency that all servers share. With 0 cores there is none, and no class may
// call it.
type Downstream struct {
	Cores int     `json:"cores"`
	Work  float64 `json:"work"` // mean core-seconds of a call
}

// Class is a class of requests.
type Class struct {
	Name            string  `json:"name"`
	Share           float64 `json:"part"` // share of all requests; the shares add up to 1
	Work            float64 `json:"work"` // mean core-seconds; exponentially distributed
	SoftDeadline    float64 `json:"due"`
	Timeout         float64 `json:"limit"`
	Value           float64 `json:"utility"`
	CallsDownstream bool    `json:"calls"` // each request makes a call halfway through its work
}

// FaultKind is a kind of fault of a scenario.
type FaultKind string

// The kinds of faults. A crashed server restarts after the fault's duration, a drained one that
// long after its drain.
const (
	faultCrash          FaultKind = "crash"
	faultSlow           FaultKind = "slow"
	faultDrain          FaultKind = "drain"
	faultDownstreamSlow FaultKind = "below-slow"
	faultDownstreamDead FaultKind = "below-dead"
)

var faultKinds = []FaultKind{faultCrash, faultSlow, faultDrain, faultDownstreamSlow, faultDownstreamDead}

// needsFactor reports whether a fault of the kind has a speed factor.
func (k FaultKind) needsFactor() bool { return k == faultSlow || k == faultDownstreamSlow }

// Fault is a fault of a server or of the dependency.
type Fault struct {
	At       float64   `json:"at"`
	Kind     FaultKind `json:"kind"`
	Server   int       `json:"server"`
	Duration float64   `json:"for"`
	Factor   float64   `json:"factor"` // remaining share of the speed, for the slow kinds
}

// ParseScenario parses a scenario from JSON. The error names the first invalid key.
func ParseScenario(text []byte) (*Scenario, error) {
	scenario := &Scenario{Balancer: RoundRobin, MaxAttempts: 3, Delay: 0.0005, HealthDelay: 1, InitialSpeed: 1}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(scenario); err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	return scenario, scenario.validate()
}

// validate returns an error that names the first invalid key.
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
			return fmt.Errorf("stages[%d]: name %q, part %g, work %g, due %g, limit %g, utility %g: "+
				"want a name; part, work, due and utility over 0; and limit at least due",
				i, class.Name, class.Share, class.Work, class.SoftDeadline, class.Timeout, class.Value)
		}
	}
	return nil
}

func (s *Scenario) validateDownstream() error {
	calls := slices.IndexFunc(s.Classes, func(class Class) bool { return class.CallsDownstream })
	if calls >= 0 && s.Downstream.Cores == 0 {
		return fmt.Errorf("stages[%d].calls: the scenario has no dependency to call: below.cores is 0", calls)
	}
	if s.Downstream.Cores < 0 || s.Downstream.Cores > 0 && s.Downstream.Work <= 0 {
		return fmt.Errorf("below: cores %d, work %g: want cores at least 0, and work over 0 if there are cores",
			s.Downstream.Cores, s.Downstream.Work)
	}
	return nil
}

func (s *Scenario) validateFaults() error {
	for i, fault := range s.Faults {
		if !slices.Contains(faultKinds, fault.Kind) || fault.Server < 0 || fault.Server >= s.Servers || fault.At < 0 ||
			fault.Duration < 0 || fault.Kind.needsFactor() && (fault.Factor <= 0 || fault.Factor > 1) {
			return fmt.Errorf("faults[%d]: kind %q, server %d, at %g, for %g, factor %g: "+
				"want a kind of %v, a server from 0 to %d, at and for at least 0, "+
				"and for the slow kinds a factor over 0 and at most 1",
				i, fault.Kind, fault.Server, fault.At, fault.Duration, fault.Factor, faultKinds, s.Servers-1)
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
		return fmt.Errorf("seconds: %g, want over 0 and at most 86400", s.Seconds)
	case s.Servers < 1 || s.Servers > 10_000:
		return fmt.Errorf("servers: %d, want from 1 to 10000", s.Servers)
	case s.Cores < 1 || s.Cores > 256:
		return fmt.Errorf("cores: %d, want from 1 to 256", s.Cores)
	case s.Load <= 0 || s.Load > 100:
		return fmt.Errorf("load: %g, want over 0 and at most 100", s.Load)
	case !slices.Contains(balancers, s.Balancer):
		return fmt.Errorf("balancer: %q, want one of %v", s.Balancer, balancers)
	case s.MaxAttempts < 1 || s.MaxAttempts > 100:
		return fmt.Errorf("tries: %d, want from 1 to 100", s.MaxAttempts)
	case s.Delay < 0 || s.HealthDelay < 0 || s.SlowStartSeconds < 0:
		return fmt.Errorf("delay %g, lag %g, cold_for %g: want at least 0", s.Delay, s.HealthDelay, s.SlowStartSeconds)
	case s.InitialSpeed <= 0 || s.InitialSpeed > 1:
		return fmt.Errorf("cold_from: %g, want over 0 and at most 1", s.InitialSpeed)
	case len(s.Classes) == 0 || shares < 0.999 || shares > 1.001:
		return fmt.Errorf("stages: the parts of %d stages add up to %g, want at least one stage and a sum of 1",
			len(s.Classes), shares)
	}
	return nil
}

// arrivalRate returns the number of requests per second that results in the scenario's load.
func (s *Scenario) arrivalRate() float64 {
	meanWork := 0.0
	for _, class := range s.Classes {
		meanWork += class.Share * class.Work
	}
	return s.Load * float64(s.Servers*s.Cores) / meanWork
}

const (
	// A server is overloaded if it has more than maxRunsPerCore runs per core for longer than
	// overloadWindowSeconds, which is a violation.
	maxRunsPerCore        = 8
	overloadWindowSeconds = 1.0
	// drainTimeoutSeconds is the time from the start of a server's drain to its kill.
	drainTimeoutSeconds = 3.0
	// drainGraceSeconds is how long a draining server may still start runs of requests that arrived
	// before the drain.
	drainGraceSeconds = 1.0
	// answerToleranceSeconds is how many seconds after its deadline an answer may come.
	answerToleranceSeconds = 0.05
	// requestMemoryKB is the memory of a request until it is answered, and serverMemoryKB the
	// memory limit of a server, in KB.
	requestMemoryKB = 10
	serverMemoryKB  = 1e6
	// lateValue is the value of an answer after the soft deadline.
	lateValue = 0.2
)

// admissionSettings returns the settings of a server's admission control. They include a slow start
// if the server is restarted.
func (s *Scenario) admissionSettings(isRestart bool) admission.Settings {
	settings := admission.Settings{
		Servers:           s.Servers,
		Clients:           1,
		Cores:             s.Cores,
		DrainGracePeriod:  drainGraceSeconds,
		DeadlineTolerance: answerToleranceSeconds,
		Concurrency: admission.ConcurrencySettings{
			RunsPerCore:     maxRunsPerCore,
			AveragingWindow: overloadWindowSeconds,
		},
		Memory:              admission.MemorySettings{Limit: serverMemoryKB, RunningFactor: 1},
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
			SoftDeadline:      class.SoftDeadline,
			Timeout:           class.Timeout,
			Value:             class.Value,
			LateValueFraction: lateValue,
			CallsDownstream:   class.CallsDownstream,
		})
	}
	return settings
}
