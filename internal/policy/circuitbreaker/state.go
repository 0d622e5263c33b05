package circuitbreaker

// State is that of a breaker.
type State uint8

// The states of a breaker. Closed and Degraded let all calls pass.
const (
	Closed    State = iota
	Degraded        // calls take far longer than they recently did at best
	Throttled       // half of the calls or more fail: a part of the usual ones pass
	Open            // hardly any call succeeds: only probes pass
	HalfOpen        // calls succeed again, and more pass step by step
	stateCount
)

// String is the state's name in logs.
func (s State) String() string {
	return [...]string{"closed", "degraded", "throttled", "open", "half_open", "unknown"}[min(s, stateCount)]
}

// evidence is what calls say about a service. The order matters: of several votes the median counts.
type evidence uint8

const (
	insufficient evidence = iota // too few calls to tell
	healthy
	slow
	failing
	down
	recovered // healthy, and as many calls pass as before
)

// transitions are all changes of state. What isn't listed changes nothing.
var transitions = [...]struct {
	from  State
	input evidence
	to    State
}{
	{Closed, slow, Degraded},
	{Closed, failing, Throttled},
	{Closed, down, Open},
	{Degraded, healthy, Closed},
	{Degraded, failing, Throttled},
	{Degraded, down, Open},
	{Throttled, healthy, HalfOpen},
	{Throttled, slow, HalfOpen},
	{Throttled, down, Open},
	{Open, healthy, HalfOpen},
	{Open, slow, HalfOpen},
	{HalfOpen, failing, Throttled},
	{HalfOpen, down, Open},
	{HalfOpen, recovered, Closed},
}

// next is the state that follows on evidence.
func (s State) next(input evidence) State {
	for _, transition := range transitions {
		if transition.from == s && transition.input == input {
			return transition.to
		}
	}
	return s
}
