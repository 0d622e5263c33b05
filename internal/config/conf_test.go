package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func TestTheOperatorsFile(t *testing.T) {
	c, err := ParseOperatorSettings("f", []byte(`
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
	if !c.Door || len(c.Known) != 3 || c.Known[1].String() != "10.2.0.1/32" || c.Reserve != 0.125 || c.Forget != 30*time.Second ||
		c.V4 != 24 || c.ComeBackMost != 10*time.Second || c.Share != 0.1 {
		t.Errorf("%+v", c)
	}
	if c, err := LoadOperatorSettings(""); err != nil || c.Door {
		t.Errorf("without a file: %+v, %v", c, err)
	}
	path := filepath.Join(t.TempDir(), "conf")
	if err := os.WriteFile(path, []byte("door on"), 0o600); err != nil {
		t.Fatal(err)
	}
	env := func(key string) string { return map[string]string{operatorFileVariable: path}[key] }
	if c, err := LoadOperatorSettings(OperatorFilePath("", env)); err != nil || !c.Door {
		t.Errorf("%+v, %v", c, err)
	}
	if got := OperatorFilePath("other", env); got != "other" {
		t.Errorf("the command line says other, not %s", got)
	}
}

func TestTheFileInDeployIsRight(t *testing.T) {
	if c, err := LoadOperatorSettings("../../deploy/swiftcourse.conf"); err != nil || c.Door {
		t.Errorf("%+v, %v", c, err)
	}
}

func TestEveryFaultOfTheOperatorsFileIsTold(t *testing.T) {
	for text, want := range map[string]string{
		"door":                            "f:1: door: has no value; right would be on or off",
		"door yes":                        `f:1: door: "yes" is neither on nor off`,
		"\ndoor-reserv 3%":                "f:2: door-reserv: no such key; the nearest is door-reserve",
		"door on\ndoor off":               "f:2: door: is there already, on line 1",
		"door-reserve 95%":                "f:1: door-reserve: 0.95 is out of range; right would be a part of the places, from 0% to 90%",
		"door-reserve 3":                  `f:1: door-reserve: "3" is no number of percent`,
		"door-earn x":                     `f:1: door-earn: "x" is no whole number`,
		"door-share NaN%":                 `f:1: door-share: "NaN%" is no number of percent`,
		"door-lobby 0":                    "f:1: door-lobby: 0 is out of range",
		"door-lobby 3 4":                  "f:1: door-lobby: has 2 values",
		"door-known 10.0.0.0/99":          `f:1: door-known: "10.0.0.0/99" is no address or prefix`,
		"door-forget 10":                  `f:1: door-forget: "10" is no time with a unit`,
		"door-come-back 1m":               "door-come-back-most: 10s is out of range; right would be a time from door-come-back to 1h",
		"door-arrivals-per-address -1":    "f:1: door-arrivals-per-address: -1 is out of range",
		"door-prefix-ipv4 64\ndoor maybe": "f:1: door-prefix-ipv4: 64 is out of range; right would be bits, from 8 to 32",
	} {
		_, err := ParseOperatorSettings("f", []byte(text))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
	if _, err := ParseOperatorSettings("f", []byte("door-prefix-ipv4 64\ndoor maybe\nnothing 1")); err == nil || len(strings.Split(err.Error(), "\n")) != 3 {
		t.Errorf("not all at once: %v", err)
	}
}

func TestAReleasedTextLiesOverTheFile(t *testing.T) {
	own, err := ParseOperatorSettings("f", []byte("door on\ndoor-known 10.0.0.1\ndoor-earn 5"))
	if err != nil {
		t.Fatal(err)
	}
	with, err := own.WithRelease("3.1", "door-known 10.0.0.2\ndoor-known 10.0.0.3\ndoor-come-back 1s")
	if err != nil || len(with.Known) != 2 || with.Known[0].String() != "10.0.0.2/32" || with.Earn != 5 || with.ComeBack != time.Second {
		t.Errorf("%+v, %v", with, err)
	}
	if len(own.Known) != 1 || own.ComeBack != 200*time.Millisecond {
		t.Errorf("the file itself changed: %+v", own)
	}
	if _, err := own.WithRelease("3.1", "door maybe"); err == nil || !strings.HasPrefix(err.Error(), "3.1:1: door: ") {
		t.Errorf("%v", err)
	}
	if _, err := ParseOperatorSettings("", nil); err != nil {
		t.Errorf("the defaults, which are not checked when there is no file, are wrong: %v", err)
	}
	a, b := CanonicalText("# x\ndoor   on # y\n\ndoor-earn 3\ndoor-known b\ndoor-known a\n"), CanonicalText("door-known b\ndoor-earn 3\ndoor-known a\ndoor on")
	if a != b || a != "door on\ndoor-earn 3\ndoor-known b\ndoor-known a\n" {
		t.Errorf("%q and %q", a, b)
	}
}
