package serving

// Mode is how a server handles requests.
type Mode uint8

const (
	// ModeNormal uses the settings of the active configuration version.
	ModeNormal Mode = iota
	// ModeSafeDefaults uses the settings that are compiled into the program.
	ModeSafeDefaults
	// ModeOutOfService finishes the requests that have started, rejects new requests, and withdraws
	// the server from the endpoint list.
	ModeOutOfService
)

var modeNames = [...]string{"normal", "safe_defaults", "out_of_service"}

// String returns the mode in snake case, as in log events.
func (m Mode) String() string { return EnumName(modeNames[:], "mode", uint8(m)) }

// Directive is the serving directive: it sets the mode in which the server loop handles requests.
// The loop evaluates it by its own clock, even after the node agent that published it has stopped.
type Directive struct {
	// Epoch is the number of the configuration version that the server runs.
	Epoch uint64
	// ChangesAt is the time at which NextMode replaces Mode, in seconds of the server loop's clock,
	// or +Inf.
	ChangesAt float64
	Mode      Mode
	NextMode  Mode
	// Reason explains the mode to operators.
	Reason string
	// Stats receives the server loop's counts for this version.
	Stats *VersionStats
}

// ModeAt returns the mode in force at now, in seconds of the server loop's clock.
func (d *Directive) ModeAt(now float64) Mode {
	if now < d.ChangesAt {
		return d.Mode
	}
	return d.NextMode
}
