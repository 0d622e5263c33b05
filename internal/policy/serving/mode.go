package serving

import "strconv"

// Mode is how a server handles requests.
type Mode uint8

const (
	// ModeNormal serves by the settings of the assigned configuration version.
	ModeNormal Mode = iota
	// ModeSafeDefaults serves by the settings that are compiled in.
	ModeSafeDefaults
	// ModeOutOfService finishes what has started, rejects the rest, and withdraws from the endpoint
	// list.
	ModeOutOfService
)

var modeNames = [...]string{"normal", "safe_defaults", "out_of_service"}

// String returns the mode in snake case, as the log has it.
func (m Mode) String() string { return enumName(modeNames[:], "mode", uint8(m)) }

// enumName is the name of an enumeration's value, or its kind and number when it has none.
func enumName(names []string, kind string, value uint8) string {
	if int(value) < len(names) {
		return names[value]
	}
	return kind + " " + strconv.Itoa(int(value))
}

// Directive tells the server loop in which mode to serve. The loop evaluates it by its own clock,
// also after the node agent that published it has stopped.
type Directive struct {
	// Epoch is the number of the configuration version that the server acts on.
	Epoch uint64
	// ChangesAt is when Mode ends and NextMode begins, in seconds of the loop's clock; +Inf for
	// never.
	ChangesAt float64
	Mode      Mode
	NextMode  Mode
	// Reason explains the mode to operators.
	Reason string
	// Stats is where the loop counts its work under this version.
	Stats *VersionStats
}

// ModeAt returns the mode in force at now, in seconds of the loop's clock.
func (d *Directive) ModeAt(now float64) Mode {
	if now < d.ChangesAt {
		return d.Mode
	}
	return d.NextMode
}
