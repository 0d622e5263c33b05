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
	Name     string  `json:"name"`
	Seed     uint64  `json:"seed"`
	Seconds  float64 `json:"seconds"`
	Servers  int     `json:"servers"`
	Cores    int     `json:"cores"`    // of each server
	Load     float64 `json:"load"`     // what is asked, over what all cores can do
	Balancer string  `json:"balancer"` // round-robin, least-open, two-choices or random
	Tries    int     `json:"tries"`    // of a task, at most
	Delay    float64 `json:"delay"`    // of a message, one way, in the mean
	Lag      float64 `json:"lag"`      // until balancers hear that a server's health changed
	ColdFor  float64 `json:"cold_for"` // a server that returns is slow for so long
	ColdFrom float64 `json:"cold_from"`
	Stages   []Stage `json:"stages"`
	Faults   []Fault `json:"faults"`
	Below    Below   `json:"below"`
}

// Below is the dependency that all servers share; with no cores there is none, and no stage may call it.
type Below struct {
	Cores int     `json:"cores"`
	Work  float64 `json:"work"` // of a core, in the mean, for a call
}

// Stage is a kind of task.
type Stage struct {
	Name    string  `json:"name"`
	Part    float64 `json:"part"` // of all tasks; the parts add up to 1
	Work    float64 `json:"work"` // of a core, in the mean; it is drawn exponentially
	Due     float64 `json:"due"`
	Limit   float64 `json:"limit"`
	Utility float64 `json:"utility"`
	Calls   bool    `json:"calls"` // halfway through its work it calls below
}

// Fault is something that befalls a server.
type Fault struct {
	At     float64 `json:"at"`
	Kind   string  `json:"kind"` // crash, slow or drain, or below-slow and below-dead of the dependency; after For a server that crashed or left returns, cold
	Server int     `json:"server"`
	For    float64 `json:"for"`
	Factor float64 `json:"factor"` // of slow: what is left of its speed
}

var (
	balancers  = []string{"round-robin", "least-open", "two-choices", "random"}
	faultKinds = []string{"crash", "slow", "drain", "below-slow", "below-dead"}
)

// ParseScenario reads a scenario and names the first key that is wrong.
func ParseScenario(text []byte) (*Scenario, error) {
	s := &Scenario{Balancer: "round-robin", Tries: 3, Delay: 0.0005, Lag: 1, ColdFrom: 1}
	in := json.NewDecoder(bytes.NewReader(text))
	in.DisallowUnknownFields()
	if err := in.Decode(s); err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	return s, s.check()
}

func (s *Scenario) check() error {
	parts := 0.0
	for i, st := range s.Stages {
		parts += st.Part
		if st.Name == "" || st.Part <= 0 || st.Work <= 0 || st.Due <= 0 || st.Limit < st.Due || st.Utility <= 0 {
			return fmt.Errorf("stages[%d]: needs a name, part, work, due and utility over 0, and a limit from due on", i)
		}
	}
	if i := slices.IndexFunc(s.Stages, func(st Stage) bool { return st.Calls }); i >= 0 && s.Below.Cores == 0 {
		return fmt.Errorf("stages[%d].calls: there is nothing below", i)
	}
	if s.Below.Cores < 0 || s.Below.Cores > 0 && s.Below.Work <= 0 {
		return fmt.Errorf("below: needs work over 0, and cores from 0 on")
	}
	for i, f := range s.Faults {
		if !slices.Contains(faultKinds, f.Kind) || f.Server < 0 || f.Server >= s.Servers || f.At < 0 || f.For < 0 ||
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
	case s.Tries < 1 || s.Tries > 100:
		return fmt.Errorf("tries: %d is not from 1 to 100", s.Tries)
	case s.Delay < 0 || s.Lag < 0 || s.ColdFor < 0:
		return fmt.Errorf("delay, lag, cold_for: not under 0")
	case s.ColdFrom <= 0 || s.ColdFrom > 1:
		return fmt.Errorf("cold_from: %g is not over 0 and at most 1", s.ColdFrom)
	case len(s.Stages) == 0 || parts < 0.999 || parts > 1.001:
		return fmt.Errorf("stages: their parts add up to %g, not to 1", parts)
	}
	return nil
}

// rate is how many tasks come in a second.
func (s *Scenario) rate() float64 {
	mean := 0.0
	for _, st := range s.Stages {
		mean += st.Part * st.Work
	}
	return s.Load * float64(s.Servers*s.Cores) / mean
}

const (
	// crowd and crowdFor are how many runs a core a server survives, in the mean of so many seconds.
	crowd    = 8
	crowdFor = 1.0
	// stopIn is how long a server has from the notice to leave to its kill.
	stopIn = 3.0
	// grace is for how long after the notice it may still begin what came before.
	grace = 1.0
	// answerSlack is how much later than due an answer may come.
	answerSlack = 0.05
	// taskMemory is what a task takes while it is held, in KB, and serverMemory what a server has.
	taskMemory   = 10
	serverMemory = 1e6
)

// site is what each server is told.
func (s *Scenario) site(cold bool) admission.Settings {
	site := admission.Settings{Servers: s.Servers, Clients: 1, Cores: s.Cores, DrainGracePeriod: grace, DeadlineTolerance: answerSlack,
		Concurrency: admission.ConcurrencySettings{PerCore: crowd, Window: crowdFor},
		Memory:      admission.MemorySettings{Limit: serverMemory, RunningFactor: 1}, DeadlinePropagation: true, MaxRetryAfter: 1, IdleTimeout: 60}
	if s.Below.Cores > 0 {
		site.Downstream.Kind, site.Downstream.CallWindow = admission.SharedDependency, 1
		site.Downstream.CallLimit = crowd * float64(s.Below.Cores) / float64(s.Servers)
	}
	if cold {
		site.SlowStart.InitialSpeed, site.SlowStart.Duration = s.ColdFrom, s.ColdFor
	}
	for _, st := range s.Stages {
		site.Classes = append(site.Classes, admission.Class{SoftDeadline: st.Due, Timeout: st.Limit, Value: st.Utility, LateValue: 0.2, CallsDownstream: st.Calls})
	}
	return site
}
