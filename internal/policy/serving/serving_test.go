package serving

import (
	"encoding/json"
	"math"
	"testing"
)

// The keys of the control API must not change; they differ from the names of the Go fields.
func TestCounterCell_JSONKeys(t *testing.T) {
	cell := CounterCell{
		CounterKey:    CounterKey{Tenant: "acme", Class: "ping"},
		RequestCounts: RequestCounts{Received: 10, Finished: 5, Rejected: 3, Abandoned: 2},
	}
	const want = `{"Tenant":"acme","Stage":"ping","Asked":10,"Finished":5,"Rejected":3,"Abandoned":2}`
	got, err := json.Marshal(cell)
	if err != nil || string(got) != want {
		t.Errorf("got %s, error %v; want %s", got, err, want)
	}
}

func TestMode_String(t *testing.T) {
	for mode, want := range map[Mode]string{
		ModeNormal:       "normal",
		ModeSafeDefaults: "safe_defaults",
		ModeOutOfService: "out_of_service",
		3:                "mode 3",
	} {
		if got := mode.String(); got != want {
			t.Errorf("mode %d: got %q, want %q", uint8(mode), got, want)
		}
	}
}

func TestDirective_ModeAt(t *testing.T) {
	directive := Directive{ChangesAt: 10, Mode: ModeNormal, NextMode: ModeOutOfService}
	for at, want := range map[float64]Mode{
		9.9:         ModeNormal,
		10:          ModeOutOfService,
		math.Inf(1): ModeOutOfService,
	} {
		if got := directive.ModeAt(at); got != want {
			t.Errorf("mode at %g: got %s, want %s", at, got, want)
		}
	}
}

func TestAllowance_LimitAt(t *testing.T) {
	leased := Allowance{Guaranteed: 2, LeasedShare: 3, LeaseExpiry: 10}
	capped := leased
	capped.Capped = true
	capped.Cap = 4
	for _, test := range []struct {
		name      string
		allowance Allowance
		at, want  float64
	}{
		{"during the lease", leased, 9.9, 5},
		{"after the lease", leased, 10, 2},
		{"capped during the lease", capped, 9.9, 4},
		{"below the cap", capped, 10, 2},
	} {
		if got := test.allowance.LimitAt(test.at); got != test.want {
			t.Errorf("%s: limit %g, want %g", test.name, got, test.want)
		}
	}
}
