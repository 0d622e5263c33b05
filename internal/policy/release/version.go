package release

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
)

// Version is a version of the settings that servers run.
type Version struct {
	Epoch      Epoch
	Digest     string  // digest of Text and Build, see Digest
	Author     string  // author of the release
	ReleasedAt float64 `json:"At"` // Unix seconds by the author's clock, only displayed
	Text       string  // settings in canonical form; with "" each server uses its own settings file
	Build      string  // build of the program for which the version is meant, "" for any
}

// Digest returns the hexadecimal SHA-256 digest of a version's text and build.
func Digest(text, build string) string {
	sum := sha256.Sum256([]byte(strconv.Itoa(len(text)) + ":" + text + build))
	return hex.EncodeToString(sum[:])
}

// DigestMatches reports whether Digest is the digest of the version's text and build.
func (v *Version) DigestMatches() bool {
	return v.Digest == Digest(v.Text, v.Build)
}

// HistoryEntry describes a version that is no longer in force. It does not include the text.
type HistoryEntry struct {
	Epoch      Epoch
	Digest     string
	Author     string
	ReleasedAt float64 `json:"At"`   // Unix seconds by the author's clock
	Outcome    string  `json:"Fate"` // why the version is no longer in force, only displayed
}
