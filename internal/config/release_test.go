package config

import (
	"errors"
	"strings"
	"testing"
	"time"
)

func TestWithRelease_TextLiesOverTheFile(t *testing.T) {
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
		t.Errorf("%+v", limit)
	}
	if len(own.ConnLimit.TrustedPrefixes) != 1 || own.ConnLimit.MinRetryAfter != 200*time.Millisecond {
		t.Errorf("the file itself changed: %+v", own)
	}
}

func TestWithRelease_ErrorNamesTheRelease(t *testing.T) {
	own := DefaultOperatorSettings()
	_, err := own.WithRelease("3.1", "door maybe")
	if err == nil || !strings.HasPrefix(err.Error(), "3.1:1: door: ") {
		t.Errorf("%v", err)
	}
	_, err = own.WithRelease("3.1", "fleet-lease 5s")
	var fault *FieldError
	if !errors.As(err, &fault) || fault.Source != "3.1" || fault.Key != "fleet-lease" {
		t.Errorf("%v", err)
	}
}

func TestCanonicalText_SameSettingsHaveOneText(t *testing.T) {
	const want = "door on\ndoor-earn 3\ndoor-known b\ndoor-known a\n"
	for _, text := range []string{
		"# x\ndoor   on # y\n\ndoor-earn 3\ndoor-known b\ndoor-known a\n",
		"door-known b\ndoor-earn 3\ndoor-known a\ndoor on",
	} {
		if got := CanonicalText(text); got != want {
			t.Errorf("%q of %q, want %q", got, text, want)
		}
	}
}
