package circuitbreaker

// State is the state of a breaker.
type State uint8

// The states of a breaker. In Closed and Degraded, calls are not limited.
const (
	Closed    State = iota
	Degraded        // calls take much longer than their lowest recent mean duration
	Throttled       // at least half of the calls fail: only a fraction of the usual calls may be in flight
	Open            // nearly all calls fail: only probes may be in flight
	HalfOpen        // calls succeed again: the limit on calls in flight is raised in steps
	stateCount
)

// String returns the state's name as used in logs.
func (s State) String() string {
	return [...]string{"closed", "degraded", "throttled", "open", "half_open", "unknown"}[min(s, stateCount)]
}

// evidence is the condition of a service as inferred from calls. The values are ordered from
// healthy to down so that votes have a median.
type evidence uint8

const (
	insufficient evidence = iota // no calls to decide by
	healthy
	slow
	failing
	down
	recovered // the limit of a half-open breaker has reached averageInFlight; never a vote
)

// transitions lists all changes of state. With any other evidence the state does not change.
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

// next returns the state that follows s with the given evidence.
func (s State) next(input evidence) State {
	for _, transition := range transitions {
		if transition.from == s && transition.input == input {
			return transition.to
		}
	}
	return s
}
