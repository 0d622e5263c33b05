package quota

import (
	"encoding/json"
	"testing"
)

// TestControlAPI_Keys guards the JSON keys that clients of the control API read.
func TestControlAPI_Keys(t *testing.T) {
	cases := []struct {
		name  string
		value any
		want  string
	}{
		{
			"allowance",
			Allowance{Name: "a", FleetMax: 1, Floor: 2, LeasedShare: 3, LeaseExpiry: 4, GrantNumber: 5},
			`{"Name":"a","Most":1,"Floor":2,"Part":3,"Till":4,"Answer":5}`,
		},
		{
			"limit status",
			LimitStatus{Name: "a", Max: 1, Leased: 2, Pool: 3, Servers: 4, Wanted: 5, PriorLeasesExpired: true},
			`{"Name":"a","Most":1,"Given":2,"Pool":3,"Servers":4,"Wanted":5,"Known":true}`,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := json.Marshal(c.value)
			if err != nil || string(got) != c.want {
				t.Errorf("json.Marshal() = %s, %v, want %s, nil", got, err, c.want)
			}
		})
	}
}
