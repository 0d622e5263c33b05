package simulation

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"swiftcourse/admission"
)

// Scenario is what is played. Times are in seconds.
type Scenario struct {
	Name             string     `json:"name"`
	Seed             uint64     `json:"seed"`
	Seconds          float64    `json:"seconds"`
	Servers          int        `json:"servers"`
	Cores            int        `json:"cores"`    // of each server
	Load             float64    `json:"load"`     // what is asked, over what all cores can do
	Balancer         string     `json:"balancer"` // round-robin, least-open, two-choices or random
	MaxAttempts      int        `json:"tries"`    // of a task, at most
	Delay            float64    `json:"delay"`    // of a message, one way, in the mean
	HealthDelay      float64    `json:"lag"`      // until balancers hear that a server's health changed
	SlowStartSeconds float64    `json:"cold_for"` // a server that returns is slow for so long
	InitialSpeed     float64    `json:"cold_from"`
	Classes          []Class    `json:"stages"`
	Faults           []Fault    `json:"faults"`
	Downstream       Downstream `json:"below"`
}

// Downstream is the dependency that all servers share; with no cores there is none, and no stage may call it.
type Downstream struct {
	Cores int     `json:"cores"`
	Work  float64 `json:"work"` // of a core, in the mean, for a call
}

// Class is a kind of task.
type Class struct {
	Name            string  `json:"name"`
	Share           float64 `json:"part"` // of all tasks; the parts add up to 1
	Work            float64 `json:"work"` // of a core, in the mean; it is drawn exponentially
	SoftDeadline    float64 `json:"due"`
	Timeout         float64 `json:"limit"`
	Value           float64 `json:"utility"`
	CallsDownstream bool    `json:"calls"` // halfway through its work it calls below
}

// Fault is something that befalls a server.
type Fault struct {
	At       float64 `json:"at"`
	Kind     string  `json:"kind"` // crash, slow or drain, or below-slow and below-dead of the dependency; after For a server that crashed or left returns, cold
	Server   int     `json:"server"`
	Duration float64 `json:"for"`
	Factor   float64 `json:"factor"` // of slow: what is left of its speed
}

var (
	balancers  = []string{"round-robin", "least-open", "two-choices", "random"}
	faultKinds = []string{"crash", "slow", "drain", "below-slow", "below-dead"}
)

// ParseScenario reads a scenario and names the first key that is wrong.
func ParseScenario(text []byte) (*Scenario, error) {
	s := &Scenario{Balancer: "round-robin", MaxAttempts: 3, Delay: 0.0005, HealthDelay: 1, InitialSpeed: 1}
	in := json.NewDecoder(bytes.NewReader(text))
	in.DisallowUnknownFields()
	if err := in.Decode(s); err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	return s, s.validate()
}

func (s *Scenario) validate() error {
	parts := 0.0
	for i, st := range s.Classes {
		parts += st.Share
		if st.Name == "" || st.Share <= 0 || st.Work <= 0 || st.SoftDeadline <= 0 || st.Timeout < st.SoftDeadline || st.Value <= 0 {
			return fmt.Errorf("stages[%d]: needs a name, part, work, due and utility over 0, and a limit from due on", i)
		}
	}
	if i := slices.IndexFunc(s.Classes, func(st Class) bool { return st.CallsDownstream }); i >= 0 && s.Downstream.Cores == 0 {
		return fmt.Errorf("stages[%d].calls: there is nothing below", i)
	}
	if s.Downstream.Cores < 0 || s.Downstream.Cores > 0 && s.Downstream.Work <= 0 {
		return fmt.Errorf("below: needs work over 0, and cores from 0 on")
	}
	for i, f := range s.Faults {
		if !slices.Contains(faultKinds, f.Kind) || f.Server < 0 || f.Server >= s.Servers || f.At < 0 || f.Duration < 0 ||
			strings.HasSuffix(f.Kind, "slow") && (f.Factor <= 0 || f.Factor > 1) {
			return fmt.Errorf("faults[%d]: needs a kind of %v, a server from 0 to %d, times from 0 on, and for slow a factor over 0 and at most 1",
				i, faultKinds, s.Servers-1)
		}
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
		return fmt.Errorf("delay, lag, cold_for: not under 0")
	case s.InitialSpeed <= 0 || s.InitialSpeed > 1:
		return fmt.Errorf("cold_from: %g is not over 0 and at most 1", s.InitialSpeed)
	case len(s.Classes) == 0 || parts < 0.999 || parts > 1.001:
		return fmt.Errorf("stages: their parts add up to %g, not to 1", parts)
	}
	return nil
}

// arrivalRate is how many tasks come in a second.
func (s *Scenario) arrivalRate() float64 {
	mean := 0.0
	for _, st := range s.Classes {
		mean += st.Share * st.Work
	}
	return s.Load * float64(s.Servers*s.Cores) / mean
}

const (
	// maxRunsPerCore and crowdFor are how many runs a core a server survives, in the mean of so many seconds.
	maxRunsPerCore = 8
	overloadWindow = 1.0
	// drainTimeout is how long a server has from the notice to leave to its kill.
	drainTimeout = 3.0
	// drainGracePeriod is for how long after the notice it may still begin what came before.
	drainGracePeriod = 1.0
	// answerTolerance is how much later than due an answer may come.
	answerTolerance = 0.05
	// requestMemory is what a task takes while it is held, in KB, and serverMemory what a server has.
	requestMemory = 10
	serverMemory  = 1e6
)

// settings is what each server is told.
func (s *Scenario) settings(cold bool) admission.Settings {
	site := admission.Settings{Servers: s.Servers, Clients: 1, Cores: s.Cores, DrainGracePeriod: drainGracePeriod, DeadlineTolerance: answerTolerance,
		Concurrency: admission.ConcurrencySettings{PerCore: maxRunsPerCore, Window: overloadWindow},
		Memory:      admission.MemorySettings{Limit: serverMemory, RunningFactor: 1}, DeadlinePropagation: true, MaxRetryAfter: 1, IdleTimeout: 60}
	if s.Downstream.Cores > 0 {
		site.Downstream.Kind, site.Downstream.CallWindow = admission.SharedDependency, 1
		site.Downstream.CallLimit = maxRunsPerCore * float64(s.Downstream.Cores) / float64(s.Servers)
	}
	if cold {
		site.SlowStart.InitialSpeed, site.SlowStart.Duration = s.InitialSpeed, s.SlowStartSeconds
	}
	for _, st := range s.Classes {
		site.Classes = append(site.Classes, admission.Class{SoftDeadline: st.SoftDeadline, Timeout: st.Timeout, Value: st.Value, LateValue: 0.2, CallsDownstream: st.CallsDownstream})
	}
	return site
}
