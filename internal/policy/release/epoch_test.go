package release

import "testing"

func TestParseEpoch_ReadsString(t *testing.T) {
	for _, epoch := range []Epoch{0, 1, NewEpoch(3, 17), NewEpoch(1<<32-1, 1<<32-1)} {
		if got, err := ParseEpoch(epoch.String()); err != nil || got != epoch {
			t.Errorf("%s came back as %s, %v", epoch, got, err)
		}
	}
}

func TestParseEpoch_RefusesOtherText(t *testing.T) {
	for _, text := range []string{"", "3", "3.", ".1", "3.1.2", "-1.2", "4294967296.1"} {
		if epoch, err := ParseEpoch(text); err == nil {
			t.Errorf("%q is %s", text, epoch)
		}
	}
}
