package release

import (
	"math"
	"strconv"

	"swiftcourse/internal/policy/serving"
)

// Limits of the log, which keep its replicas small enough for a small server: about half a megabyte
// if all limits are reached.
const (
	maxTextBytes    = 64 << 10 // text of a version; a settings file with every key is under 2 KiB
	maxNameBytes    = 64       // a name, author or build
	maxReasonBytes  = 200
	maxNames        = 4096 // registered servers, four times the largest simulated fleet
	maxHistory      = 64   // entries for versions that are no longer in force
	maxWaves        = 16
	maxCommandRows  = 64   // counter rows in one command
	maxClosedRows   = 4096 // closed counter rows whose IDs are kept
	maxCounterCells = 4096 // totals by key, not counting the total of the zero key
	maxCellCount    = 1e15 // requests in one cell: a million a second for thirty years
	maxAuthors      = 64   // authors whose latest command ID is kept, see Command.ID
)

// Kind is the kind of a Command.
type Kind uint8

// The kinds of commands. Their numbers are on the wire and in the raft log.
const (
	KindRelease        Kind = iota // release a new version, in waves or to all servers at once
	KindAdvanceRollout             // advance to the next wave or, after the last wave, to all servers
	KindRollback                   // return to the text that was in force before, see Log.rollBack
	KindRegister                   // register a server's name for an incarnation
	KindEject                      // eject a server
	KindReadmit                    // end an ejection
	KindUnregister                 // remove a server's name
	KindBumpEpoch                  // continue with epochs of a higher cluster ID, see Log.bumpEpoch
	KindCloseCounters              // add counter rows to the totals, each row once
	kindCount
)

var kindNames = [kindCount]string{
	KindRelease:        "release",
	KindAdvanceRollout: "advance_rollout",
	KindRollback:       "rollback",
	KindRegister:       "register",
	KindEject:          "eject",
	KindReadmit:        "readmit",
	KindUnregister:     "unregister",
	KindBumpEpoch:      "bump_epoch",
	KindCloseCounters:  "close_counters",
}

// String returns the name of the kind as it appears in log events.
func (k Kind) String() string {
	if k < kindCount {
		return kindNames[k]
	}
	return "kind " + strconv.Itoa(int(k))
}

// Command is a change of the log. Its Kind determines which of the other fields are used.
type Command struct {
	Kind Kind

	// ID is chosen by the author. A command with the same ID as the author's latest command is a
	// repetition: it succeeds and changes nothing. A command with ID 0 is never a repetition.
	ID     uint64
	Author string

	// IssuedAt is in Unix seconds by the author's clock. It is only displayed; no decision depends
	// on it.
	IssuedAt float64 `json:"At"`

	// ExpectedEpoch is the newest epoch known to the author of a release, rollout advance, rollback
	// or epoch bump. The command is refused if it is not the newest epoch of the log.
	ExpectedEpoch Epoch `json:"On"`

	// Text, Build and Digest are the fields of the Version to release.
	Text   string
	Build  string
	Digest string

	// Waves are the waves of a release as increasing fractions of the fleet, the last at most 1.
	// Without waves, the version is released to all servers at once.
	Waves []float64

	// Name is the name of the server to register, eject, readmit or unregister.
	Name string

	// Incarnation is the incarnation to register, eject or unregister. To eject or unregister, 0
	// means any incarnation.
	Incarnation uint64 `json:"Life"`

	// Previous is the incarnation that had the name before, 0 for none, if Kind is KindRegister. If
	// Kind is KindBumpEpoch, it is the new cluster ID.
	Previous uint64 `json:"Was"`

	Reason      string       `json:"Why"`  // reason for an ejection or rollback
	CounterRows []CounterRow `json:"Rows"` // counter rows to close
}

// withinBounds reports whether every field of the command is within its limits.
func (c *Command) withinBounds() bool {
	return c.Kind < kindCount &&
		len(c.Text) <= maxTextBytes &&
		len(c.Build) <= maxNameBytes &&
		len(c.Author) <= maxNameBytes &&
		len(c.Name) <= maxNameBytes &&
		len(c.Reason) <= maxReasonBytes &&
		!math.IsNaN(c.IssuedAt) &&
		!math.IsInf(c.IssuedAt, 0) &&
		validWaves(c.Waves) &&
		validCounterRows(c.CounterRows)
}

func validWaves(waves []float64) bool {
	if len(waves) > maxWaves {
		return false
	}
	previous := 0.0
	for _, fraction := range waves {
		if !(fraction > previous && fraction <= 1) { // also rejects NaN
			return false
		}
		previous = fraction
	}
	return true
}

func validCounterRows(rows []CounterRow) bool {
	if len(rows) > maxCommandRows {
		return false
	}
	limit := serving.RequestCounts{
		Received:  maxCellCount,
		Finished:  maxCellCount,
		Rejected:  maxCellCount,
		Abandoned: maxCellCount,
	}
	cells := 0
	for _, row := range rows {
		cells += len(row.Cells)
		for _, cell := range row.Cells {
			if len(cell.Tenant) > maxNameBytes || len(cell.Class) > maxNameBytes {
				return false
			}
			if !limit.Covers(cell.RequestCounts) {
				return false
			}
		}
	}
	return cells <= maxCounterCells
}
