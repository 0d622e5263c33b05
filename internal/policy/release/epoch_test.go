package release

import "testing"

func TestParseEpoch_RoundTrip(t *testing.T) {
	for _, epoch := range []Epoch{0, 1, NewEpoch(3, 17), NewEpoch(1<<32-1, 1<<32-1)} {
		if got, err := ParseEpoch(epoch.String()); err != nil || got != epoch {
			t.Errorf("ParseEpoch(%q) = %s, %v; want %s", epoch.String(), got, err, epoch)
		}
	}
}

func TestParseEpoch_InvalidText(t *testing.T) {
	for _, text := range []string{"", "3", "3.", ".1", "3.1.2", "-1.2", "4294967296.1"} {
		if epoch, err := ParseEpoch(text); err == nil {
			t.Errorf("ParseEpoch(%q) = %s, want an error", text, epoch)
		}
	}
}
