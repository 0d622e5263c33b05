package simulation

import (
	"encoding/json"
	"strings"
	"testing"
)

const baseScenario = `{"name":"test","seed":3,"seconds":20,"servers":6,"cores":2,"load":0.6,
"balancer":"two-choices","lag":0.5,"cold_for":2,"cold_from":0.3,
"stages":[{"name":"lookup","part":0.7,"work":0.01,"due":0.5,"limit":1.5,"utility":1},
{"name":"price","part":0.3,"work":0.04,"due":1.5,"limit":4,"utility":3}]`

const callsSettings = `,"below":{"cores":6,"work":0.01},"stages":[{},{"calls":true}]`

func parseScenario(t *testing.T, more string) *Scenario {
	s, err := ParseScenario([]byte(baseScenario + more + "}"))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestRun_NoViolationsAndAllRequestsEnd(t *testing.T) {
	for name, more := range map[string]string{
		"no faults": ``,
		"overload":  `,"load":2`,
		"crash": `,"faults":[{"at":5,"kind":"crash","server":0,"for":3},
			{"at":6,"kind":"crash","server":1,"for":3}]`,
		"slow": `,"load":0.8,
			"faults":[{"at":5,"kind":"slow","server":2,"for":8,"factor":0.2}]`,
		"drain": `,"faults":[{"at":4,"kind":"drain","server":3,"for":1},
			{"at":9,"kind":"drain","server":4,"for":1}]`,
		"only server crashes": `,"servers":1,"faults":[{"at":5,"kind":"crash","server":0,"for":4}]`,
		"downstream calls":    callsSettings,
		"slow dependency": callsSettings + `,
			"faults":[{"at":5,"kind":"below-slow","for":6,"factor":0.1}]`,
		"dead dependency and a crash": callsSettings + `,"load":1.2,"faults":[{"at":5,"kind":"below-dead","for":4},
			{"at":6,"kind":"crash","server":1,"for":2}]`,
		"crash in overload with the least-open balancer": `,"load":1.5,"balancer":"least-open",
			"faults":[{"at":5,"kind":"crash","server":0,"for":3}]`,
	} {
		r := Run(parseScenario(t, more))
		if (r.Calls > 100) != strings.Contains(more, "below") {
			t.Errorf("%s: %d downstream calls, want over 100 only if classes make calls", name, r.Calls)
		}
		if r.ViolationCount != 0 {
			t.Errorf("%s: %d violations, want none: %s", name, r.ViolationCount, strings.Join(r.Violations, "\n"))
		}
		for _, row := range r.Rows {
			if row.Received < 100 ||
				row.Received != row.Finished+row.Late+row.Rejected+row.Abandoned+row.TimedOut+row.Unreachable {
				t.Errorf("%s: want at least 100 requests, each with one outcome: %+v", name, row)
			}
			if name == "no faults" && float64(row.Finished) < 0.99*float64(row.Received) {
				t.Errorf("%s: want at least 99%% of the requests finished: %+v", name, row)
			}
		}
	}
}

func TestRun_IsDeterministicForSeed(t *testing.T) {
	more := `,"load":1.3,"faults":[{"at":5,"kind":"crash","server":0,"for":3},
			{"at":7,"kind":"drain","server":1,"for":1}]`
	reportText := func(s *Scenario) string {
		text, err := json.Marshal(Run(s))
		if err != nil {
			t.Fatal(err)
		}
		return string(text)
	}
	first := reportText(parseScenario(t, more))
	again := reportText(parseScenario(t, more))
	other := parseScenario(t, more)
	if first != again {
		t.Errorf("two runs of a seed differ:\n%s\n%s", first, again)
	}
	if other.Seed++; reportText(other) == first {
		t.Error("a run of another seed gives the same report, want a different one")
	}
}

func TestRun_ReportsViolations(t *testing.T) {
	p := &requestSim{clock: newClock(1), scenario: parseScenario(t, "")}
	p.downstream = newMachine(p.clock, 1)
	p.tally.rows = make([]ClassRow, 2)
	s := &server{requestSim: p, machine: newMachine(p.clock, 2), speedFactor: 1}
	s.machine.onRunCount = s.checkOverload
	s.start(false)
	at := &attempt{id: "a", request: &request{requestSim: p}, server: s, work: 1, deadline: 0.5}
	s.attempts["a"], at.incarnation = at, s.incarnation
	s.startRun(at)
	at.activeRun = nil
	s.startRun(at)
	s.answer("a", attemptResult{outcome: rejected})
	s.answer("a", attemptResult{outcome: rejected})
	p.run(3) // the machine has two runs of the attempt
	for range 40 {
		s.machine.start(100, func() {})
	}
	p.after(2, func() { s.machine.start(100, func() {}) })
	p.run(10)
	for _, want := range []string{"run a second time", "answered a second time", "fell over"} {
		if !strings.Contains(strings.Join(p.tally.violations, "\n"), want) {
			t.Errorf("violations are %q, want one with %q", p.tally.violations, want)
		}
	}
}

func TestParseScenario_ErrorNamesInvalidKey(t *testing.T) {
	for _, c := range []struct{ more, want string }{
		{`,"servers":0`, "servers"}, {`,"load":0`, "load"}, {`,"balancer":"best"`, "balancer"},
		{`,"seconds":-1`, "seconds"},
		{`,"faults":[{"kind":"flood"}]`, "faults[0]"}, {`,"faults":[{"kind":"crash","server":9}]`,
			"faults[0]"}, {`,"tries":0`, "tries"},
		{`,"stages":[]`, "stages"}, {`,"cold_from":0`, "cold_from"}, {`,"colour":1`, "colour"},
		// fields missing in the second list keep their values of the first
		{`,"stages":[{"part":0.5}]`, "stages"}, {`,"stages":[{"work":-1}]`, "stages[0]"},
	} {
		if _, err := ParseScenario([]byte(baseScenario + c.more + "}")); err == nil ||
			!strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error is %v, want one that names %s", c.more, err, c.want)
		}
	}
}

// BenchmarkRun measures the simulation of two seconds of a fleet of 200 servers.
func BenchmarkRun(b *testing.B) {
	s, err := ParseScenario([]byte(baseScenario + `,"servers":200,"seconds":2,"load":0.8}`))
	if err != nil {
		b.Fatal(err)
	}
	for range b.N {
		r := Run(s)
		b.ReportMetric(float64(r.Events)/s.Seconds, "events/s")
	}
}
