package serving

// Mode is how a server handles requests.
type Mode uint8

const (
	// ModeNormal applies the settings of the active configuration version.
	ModeNormal Mode = iota
	// ModeSafeDefaults applies the settings that are compiled in.
	ModeSafeDefaults
	// ModeOutOfService finishes the requests that have started, rejects new ones, and withdraws the
	// server from the endpoint list.
	ModeOutOfService
)

var modeNames = [...]string{"normal", "safe_defaults", "out_of_service"}

// String returns the mode in snake case, as the log shows it.
func (m Mode) String() string { return EnumName(modeNames[:], "mode", uint8(m)) }

// Directive sets the mode in which the server loop handles requests. The loop evaluates it by its own clock,
// also after the node agent that published it has stopped.
type Directive struct {
	// Epoch is the number of the configuration version that is active on the server.
	Epoch uint64
	// ChangesAt is when NextMode replaces Mode, in seconds of the server loop's clock; +Inf for
	// never.
	ChangesAt float64
	Mode      Mode
	NextMode  Mode
	// Reason explains the mode to operators.
	Reason string
	// Stats is where the server loop counts its work under this version.
	Stats *VersionStats
}

// ModeAt returns the mode in force at now, in seconds of the server loop's clock.
func (d *Directive) ModeAt(now float64) Mode {
	if now < d.ChangesAt {
		return d.Mode
	}
	return d.NextMode
}
