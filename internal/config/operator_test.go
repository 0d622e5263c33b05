package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func TestParseOperatorSettings_ValuesAndDefaults(t *testing.T) {
	settings, err := ParseOperatorSettings("f", []byte(`
# who is let in
door on
door-known 10.1.0.0/16 10.2.0.1   # and
door-known 2001:db8::/32
door-reserve 12.5%
door-forget 30s
`))
	if err != nil {
		t.Fatal(err)
	}
	limit := settings.ConnLimit
	if !limit.Enabled || len(limit.TrustedPrefixes) != 3 || limit.TrustedPrefixes[1].String() != "10.2.0.1/32" ||
		limit.TrustedReserve != 0.125 || limit.ReputationHalfLife != 30*time.Second {
		t.Errorf("settings %+v, want door on, the three prefixes, a reserve of 0.125 and a half-life of 30 s", limit)
	}
	if limit.PrefixBitsIPv4 != 24 || limit.MaxRetryAfter != 10*time.Second || limit.CoreShare != 0.1 {
		t.Errorf("settings %+v, want the defaults 24 bits, 10 s and a core share of 0.1", limit)
	}
}

func TestLoadOperatorSettings_PathFromFlagOrEnvironment(t *testing.T) {
	if settings, err := LoadOperatorSettings(""); err != nil || settings.ConnLimit.Enabled {
		t.Errorf("without a file: %+v, error %v, want door off", settings, err)
	}
	path := filepath.Join(t.TempDir(), "conf")
	if err := os.WriteFile(path, []byte("door on"), 0o600); err != nil {
		t.Fatal(err)
	}
	getenv := func(key string) string { return map[string]string{operatorFileVariable: path}[key] }
	settings, err := LoadOperatorSettings(OperatorFilePath("", getenv))
	if err != nil || !settings.ConnLimit.Enabled {
		t.Errorf("file of the environment variable: %+v, error %v, want door on", settings, err)
	}
	if got := OperatorFilePath("other", getenv); got != "other" {
		t.Errorf("path %s, want other, the path of the flag", got)
	}
}

func TestLoadOperatorSettings_DeployedFileIsValid(t *testing.T) {
	settings, err := LoadOperatorSettings("../../deploy/swiftcourse.conf")
	if err != nil || settings.ConnLimit.Enabled {
		t.Errorf("deployed file: %+v, error %v, want door off", settings, err)
	}
}

func TestParseOperatorSettings_ErrorNamesLineKeyAndReason(t *testing.T) {
	for text, want := range map[string]string{
		"door":              "f:1: door: has no value; expected on or off",
		"door yes":          `f:1: door: "yes" is neither on nor off`,
		"\ndoor-reserv 3%":  "f:2: door-reserv: unknown key; the most similar known key is door-reserve",
		"door on\ndoor off": "f:2: door: is already set on line 1",
		"door-reserve 95%": "f:1: door-reserve: 0.95 is out of range; " +
			"expected a percentage of the connection slots, from 0% to 90%",
		"door-reserve 3":         `f:1: door-reserve: "3" is not a percentage`,
		"door-earn x":            `f:1: door-earn: "x" is not an integer`,
		"door-share NaN%":        `f:1: door-share: "NaN%" is not a percentage`,
		"door-lobby 0":           "f:1: door-lobby: 0 is out of range",
		"door-lobby 3 4":         "f:1: door-lobby: has 2 values instead of one",
		"door-known 10.0.0.0/99": `f:1: door-known: "10.0.0.0/99" is not an IP address or prefix`,
		"door-forget 10":         `f:1: door-forget: "10" is not a duration with a unit`,
		"door-come-back 1m": "door-come-back-most: 10s is out of range; " +
			"expected a duration from door-come-back to 1h",
		"door-arrivals-per-address -1":    "f:1: door-arrivals-per-address: -1 is out of range",
		"door-prefix-ipv4 64\ndoor maybe": "f:1: door-prefix-ipv4: 64 is out of range; expected bits, from 8 to 32",
	} {
		t.Run(text, func(t *testing.T) {
			_, err := ParseOperatorSettings("f", []byte(text))
			if err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("error %v, want one that contains %s", err, want)
			}
		})
	}
}

func TestParseOperatorSettings_ReportsAllFaults(t *testing.T) {
	_, err := ParseOperatorSettings("f", []byte("door-prefix-ipv4 64\ndoor maybe\nnothing 1"))
	if err == nil || len(strings.Split(err.Error(), "\n")) != 3 {
		t.Errorf("error %v, want a line for each of the three faults", err)
	}
}

func TestDefaultOperatorSettings_AreValid(t *testing.T) {
	if _, err := ParseOperatorSettings("", nil); err != nil {
		t.Errorf("error %v for the defaults, which LoadOperatorSettings does not validate; want none", err)
	}
}

func TestOperatorFields_KeysAreUniqueAndDescribed(t *testing.T) {
	seen := map[string]bool{}
	for _, field := range operatorFields() {
		if field.key == "" || seen[field.key] {
			t.Errorf("%s: key %q is empty or not unique", field.path, field.key)
		}
		seen[field.key] = true
		if expectedValues[field.key] == "" {
			t.Errorf("key %s has no entry in expectedValues", field.key)
		}
	}
	if len(seen) != len(expectedValues) {
		t.Errorf("%d keys but %d entries in expectedValues", len(seen), len(expectedValues))
	}
}
