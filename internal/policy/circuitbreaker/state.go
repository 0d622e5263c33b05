package circuitbreaker

// State is the state of a breaker.
type State uint8

// The states of a breaker. Closed and Degraded don't limit calls.
const (
	Closed    State = iota
	Degraded        // calls take far longer than the fastest recent mean
	Throttled       // half of the calls or more fail: only part of the usual ones may be in flight
	Open            // nearly all calls fail: only probes may be in flight
	HalfOpen        // calls succeed again: the limit is raised in steps
	stateCount
)

// String returns the state's name in logs.
func (s State) String() string {
	return [...]string{"closed", "degraded", "throttled", "open", "half_open", "unknown"}[min(s, stateCount)]
}

// evidence is the condition of a service by its calls, from healthy to worse so that votes have a median.
type evidence uint8

const (
	insufficient evidence = iota // too few calls to tell
	healthy
	slow
	failing
	down
	recovered // healthy, and the limit of a half-open breaker has reached the usual calls; never a vote
)

// transitions lists all changes of state. Any other evidence leaves the state as it is.
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

// next returns the state that follows on the evidence.
func (s State) next(input evidence) State {
	for _, transition := range transitions {
		if transition.from == s && transition.input == input {
			return transition.to
		}
	}
	return s
}
