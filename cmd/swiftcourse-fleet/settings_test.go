package main

import (
	"errors"
	"maps"
	"slices"
	"testing"

	"swiftcourse/admission"
	"swiftcourse/internal/config"
	"swiftcourse/internal/policy/quota"
	"swiftcourse/internal/policy/replication"
)

// requireFieldError requires err to be a *config.FieldError for a key.
func requireFieldError(t *testing.T, err error, key string) {
	t.Helper()
	var fieldError *config.FieldError
	if !errors.As(err, &fieldError) || fieldError.Key != key {
		t.Errorf("error %v, want a *config.FieldError for %s", err, key)
	}
}

// startupWith returns a configuration with one class, "pay", which has the given timeout in seconds.
func startupWith(timeout float64) *config.Startup {
	startup := &config.Startup{Name: "n1", ClassNames: []string{"pay"}}
	startup.Settings.Classes = []admission.Class{{Timeout: timeout}}
	startup.Settings.Downstream.AbandonedCallLifetime = 2
	return startup
}

func TestParseQuotas_RatesAndCalls(t *testing.T) {
	operator := config.DefaultOperatorSettings()
	operator.Quota.MaxServers = 4
	operator.Quota.Limits = []string{"tenant/a=100", "calls=400"}
	quotas, err := parseQuotas(operator, startupWith(3))
	if err != nil {
		t.Fatal(err)
	}
	want := []quota.Limit{
		{Name: "tenant/a", Max: 100},
		{Name: "calls", Max: 400, Concurrent: true, MaxUseSeconds: 5},
	}
	if !slices.Equal(quotas.Limits, want) || quotas.MaxServers != 4 {
		t.Errorf("quotas %+v, want 4 servers and limits %+v", quotas, want)
	}
}

func TestParseQuotas_InvalidLimits(t *testing.T) {
	for _, text := range []string{"calls", "calls=many", "tenant=4", "other=4"} {
		operator := config.DefaultOperatorSettings()
		operator.Quota.MaxServers = 4
		operator.Quota.Limits = []string{text}
		_, err := parseQuotas(operator, startupWith(3))
		requireFieldError(t, err, limitKey)
	}
	operator := config.DefaultOperatorSettings()
	operator.Quota.Limits = []string{"calls=4"}
	_, err := parseQuotas(operator, startupWith(3))
	requireFieldError(t, err, limitKey)

	operator.Quota.MaxServers = 4
	operator.Quota.Limits = []string{"calls=1"}
	var configError *quota.ConfigError
	if _, err := parseQuotas(operator, startupWith(3)); !errors.As(err, &configError) {
		t.Errorf("error %v, want a *quota.ConfigError", err)
	}
}

func TestParseVoters(t *testing.T) {
	operator := config.DefaultOperatorSettings()
	operator.Fleet.ListenAddress = "10.0.0.1:1"
	operator.Fleet.Voters = []string{"n1=10.0.0.1:1", "n2=10.0.0.2:1"}
	voters, err := parseVoters("n1", operator)
	want := map[string]string{"n1": "10.0.0.1:1", "n2": "10.0.0.2:1"}
	if err != nil || !maps.Equal(voters, want) {
		t.Errorf("voters %v, error %v, want %v", voters, err, want)
	}
	_, err = parseVoters("n2", operator) // the listen address differs from the address of n2's entry
	requireFieldError(t, err, votersKey)
	for _, voter := range []string{"n3", "=10.0.0.3:1", "n1=10.0.0.3:1"} {
		invalid := *operator
		invalid.Fleet.Voters = append(slices.Clone(operator.Fleet.Voters), voter)
		_, err := parseVoters("n9", &invalid)
		requireFieldError(t, err, votersKey)
	}
}

func TestParseMembers(t *testing.T) {
	members, err := parseMembers([]string{"n1", "n2/east", "n3/west/2.5"})
	want := []replication.Member{
		{Name: "n1", Weight: 1},
		{Name: "n2", Zone: "east", Weight: 1},
		{Name: "n3", Zone: "west", Weight: 2.5},
	}
	if err != nil || !slices.Equal(members, want) {
		t.Errorf("members %+v, error %v, want %+v", members, err, want)
	}
	for _, text := range []string{"n1/east/much", "n1/east/1/2"} {
		_, err := parseMembers([]string{text})
		requireFieldError(t, err, replicasKey)
	}
}

func TestMaxClaimSeconds(t *testing.T) {
	for _, c := range []struct {
		name    string
		timeout float64
		classes []string
		want    float64
	}{
		{"timeout of the class", 3, []string{"pay"}, 3},
		{"timeout below the minimum", 0.2, []string{"pay"}, minMaxClaimSeconds},
		{"no keyed class", 3, nil, minMaxClaimSeconds},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := maxClaimSeconds(c.classes, startupWith(c.timeout))
			if err != nil || got != c.want {
				t.Errorf("maximum claim %g s, error %v, want %g s", got, err, c.want)
			}
		})
	}
	_, err := maxClaimSeconds([]string{"other"}, startupWith(3))
	requireFieldError(t, err, keyedClassesKey)
}

func TestParseWorkers(t *testing.T) {
	workers, err := parseWorkers([]string{"w1=10.0.0.1:1", "w2=10.0.0.2:1"})
	if err != nil || len(workers) != 2 || workers[1].Name != "w2" || workers[1].Addr != "10.0.0.2:1" {
		t.Errorf("workers %+v, error %v; want w1 at 10.0.0.1:1 and w2 at 10.0.0.2:1", workers, err)
	}
	for _, texts := range [][]string{nil, {"w1"}, {"w1="}, {"=10.0.0.1:1"}, {"w1=10.0.0.1:1", "w1=10.0.0.2:1"}} {
		_, err := parseWorkers(texts)
		requireFieldError(t, err, workersKey)
	}
}
