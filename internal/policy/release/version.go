package release

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
)

// Version is one version of the settings on which servers act.
type Version struct {
	Epoch      Epoch
	Digest     string  // of Text and Build, see Digest
	Author     string  // who released it
	ReleasedAt float64 `json:"At"` // Unix seconds by the author's clock; shown only, no decision depends on it
	Text       string  // the settings in canonical form; "" leaves each server to its own file
	Build      string  // the program's build that it is for, "" for any
}

// Digest returns the hexadecimal SHA-256 of a version's text and build.
func Digest(text, build string) string {
	sum := sha256.Sum256([]byte(strconv.Itoa(len(text)) + ":" + text + build))
	return hex.EncodeToString(sum[:])
}

// DigestMatches reports whether the version's digest is that of its text and build.
func (v *Version) DigestMatches() bool {
	return v.Digest == Digest(v.Text, v.Build)
}

// HistoryEntry is what the log's history keeps of a version that is no longer in force.
type HistoryEntry struct {
	Epoch      Epoch
	Digest     string
	Author     string
	ReleasedAt float64 `json:"At"`   // Unix seconds by the author's clock
	Outcome    string  `json:"Fate"` // why the version is no longer in force; shown only
}
