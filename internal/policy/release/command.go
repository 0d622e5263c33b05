package release

import (
	"math"
	"strconv"

	"swiftcourse/internal/policy/serving"
)

// Limits of the log, so that its copies fit a small server: about half a megabyte with all of them
// reached.
const (
	maxTextBytes    = 64 << 10 // of a version's text; a settings file with every key is under 2 KiB
	maxNameBytes    = 64       // of a name, author or build
	maxReasonBytes  = 200
	maxNames        = 4096 // registered servers, four times the largest simulated fleet
	maxHistory      = 64   // versions that are no longer in force
	maxWaves        = 16
	maxCommandRows  = 64   // counter rows in one command
	maxClosedRows   = 4096 // counter rows that are remembered as closed
	maxCounterCells = 4096 // totals by key, beside that of the zero key
	maxCellCount    = 1e15 // requests that one cell may count: a million a second for thirty years
	maxAuthors      = 64   // whose latest command is remembered, see Command.ID
)

// Kind says what a Command does.
type Kind uint8

// The kinds of commands. Their numbers are on the wire and in the raft log.
const (
	KindRelease        Kind = iota // release a new version, in waves
	KindAdvanceRollout             // go on to the next wave; after the last one, to all servers
	KindRollback                   // return to the text that was in force before, see Log.rollBack
	KindRegister                   // register a server's name for an incarnation
	KindEject                      // eject a server
	KindReadmit                    // end an ejection
	KindUnregister                 // remove a server's name
	KindBumpEpoch                  // go on with epochs of a higher cluster ID, see Log.bumpEpoch
	KindCloseCounters              // add counter rows to the totals, each one once
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

// Command asks for a change of the log. Its kind decides which of the other fields are used.
type Command struct {
	Kind Kind

	// ID is drawn by the author. A repetition of the author's latest command succeeds and changes
	// nothing. 0 is never a repetition.
	ID     uint64
	Author string

	// IssuedAt is in Unix seconds by the author's clock. It is shown only; no decision depends on it.
	IssuedAt float64 `json:"At"`

	// ExpectedEpoch is the newest epoch that the author of a release, advance, rollback or bump knew.
	// The command is refused if another one is the newest.
	ExpectedEpoch Epoch `json:"On"`

	// Text, Build and Digest are those of the Version to release.
	Text   string
	Build  string
	Digest string

	// Waves of a release are rising shares of the fleet, the last at most 1; none is for all servers
	// at once.
	Waves []float64

	// Name is that of the server to register, eject, readmit or unregister.
	Name string

	// Incarnation is the one to register; to eject or unregister, 0 is for any.
	Incarnation uint64 `json:"Life"`

	// Previous is, to register, the incarnation that had the name, 0 for none; to bump the epoch, the
	// cluster ID from which epochs continue.
	Previous uint64 `json:"Was"`

	Reason      string       `json:"Why"`  // of an ejection or rollback
	CounterRows []CounterRow `json:"Rows"` // to close
}

// withinBounds reports whether every field of the command keeps to the limits.
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
	for _, share := range waves {
		if !(share > previous && share <= 1) { // also false for NaN
			return false
		}
		previous = share
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
