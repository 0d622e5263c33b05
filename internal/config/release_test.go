package config

import (
	"errors"
	"strings"
	"testing"
	"time"
)

func TestWithRelease_OverridesFile(t *testing.T) {
	own, err := ParseOperatorSettings("f", []byte("door on\ndoor-known 10.0.0.1\ndoor-earn 5"))
	if err != nil {
		t.Fatal(err)
	}
	merged, err := own.WithRelease("3.1", "door-known 10.0.0.2\ndoor-known 10.0.0.3\ndoor-come-back 1s")
	if err != nil {
		t.Fatal(err)
	}
	limit := merged.ConnLimit
	if len(limit.TrustedPrefixes) != 2 || limit.TrustedPrefixes[0].String() != "10.0.0.2/32" ||
		limit.RequestsToTrust != 5 || limit.MinRetryAfter != time.Second {
		t.Errorf("merged settings %+v, want two prefixes and 1 s from the release, door-earn 5 from the file", limit)
	}
	if len(own.ConnLimit.TrustedPrefixes) != 1 || own.ConnLimit.MinRetryAfter != 200*time.Millisecond {
		t.Errorf("file's own settings %+v, want them unchanged", own)
	}
}

func TestWithRelease_ErrorNamesTheRelease(t *testing.T) {
	own := DefaultOperatorSettings()
	_, err := own.WithRelease("3.1", "door maybe")
	if err == nil || !strings.HasPrefix(err.Error(), "3.1:1: door: ") {
		t.Errorf("error %v, want one that begins with 3.1:1: door:", err)
	}
	_, err = own.WithRelease("3.1", "fleet-lease 5s")
	var fault *FieldError
	if !errors.As(err, &fault) || fault.Source != "3.1" || fault.Key != "fleet-lease" {
		t.Errorf("error %v, want a *FieldError with source 3.1 and key fleet-lease", err)
	}
}

func TestCanonicalText_SameForEqualSettings(t *testing.T) {
	const want = "door on\ndoor-earn 3\ndoor-known b\ndoor-known a\n"
	for _, text := range []string{
		"# x\ndoor   on # y\n\ndoor-earn 3\ndoor-known b\ndoor-known a\n",
		"door-known b\ndoor-earn 3\ndoor-known a\ndoor on",
	} {
		if got := CanonicalText(text); got != want {
			t.Errorf("canonical text of %q is %q, want %q", text, got, want)
		}
	}
}
