package config

import (
	"fmt"
	"os"
	"reflect"
	"slices"

	"swiftcourse/admission"
	"swiftcourse/internal/lifecycle"
)

// The variables by which the platform tells a server its configuration.
const (
	fileVariable   = "RELAY_CONFIG" // names the JSON file
	nameVariable   = "RELAY_NAME"
	listenVariable = "RELAY_LISTEN"
)

// minSockets is the least number of sockets a server starts with: clients have half of them.
const minSockets = 64

// Startup is the platform's configuration, checked and in the terms of the program. Its durations
// are in seconds, as the decision core counts them.
type Startup struct { // a field's key is the one of the JSON file that sets it
	Name   string `key:"name"`
	Listen string `key:"listen"` // address
	Addresses
	Seed        int64   `key:"seed"`
	StopTimeout float64 `key:"stop_ms"` // from the signal to stop until the platform kills the process
	Cores       float64 `key:"limits"`  // that this program may use
	MemoryBytes int64   `key:"limits"`
	MaxSockets  int     `key:"limits"`

	// Forwarder tells that requests go on to workers: there is no executor, and no call downstream
	// is made from here.
	Forwarder bool

	Settings                admission.Settings `key:"settings"`
	SlowStartDuration       float64            `key:"settings"` // how long a cold executor takes to warm up
	WorkerSlowStartDuration float64            `key:"settings"` // of a forwarder: how long its workers' executors do
	ClassIndex              map[string]int     `key:"settings"` // into Settings.Classes, by name
	TenantIndex             map[string]int     `key:"settings"` // into Settings.Tenants, by name
	ClassNames              []string           `key:"settings"`
	Gauges                  []string           `key:"settings"` // that the executor is asked for

	// UnsupportedKeys are the keys of what the settings allow and the executor's protocol has no
	// message for; it is done without.
	UnsupportedKeys []string `key:"settings"`
}

// Addresses are where the server's dependencies listen, the part of the configuration that may
// change while serving.
type Addresses struct {
	Executor string // "" for a forwarder
	Registry string
	Upstream string // "" on the last tier, which calls nothing
}

// Load reads the configuration of a server from the environment and the file that it names.
func Load(getenv func(string) string) (*Startup, error) { return load(getenv, false) }

// LoadForwarder reads that of a forwarder, which needs neither an executor nor an upstream.
func LoadForwarder(getenv func(string) string) (*Startup, error) { return load(getenv, true) }

func load(getenv func(string) string, forwarder bool) (*Startup, error) {
	path := getenv(fileVariable)
	if path == "" {
		return nil, &FieldError{Key: fileVariable, Reason: "not set"}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", fileVariable, err)
	}
	startup, err := parse(text, environment{
		name:      getenv(nameVariable),
		listen:    getenv(listenVariable),
		forwarder: forwarder,
	})
	if err != nil {
		return nil, err
	}
	startup.MaxSockets = min(startup.MaxSockets, lifecycle.MaxOpenFiles())
	if startup.MaxSockets < minSockets { // accept would fail, and end the event loop
		return nil, &FieldError{
			Key:    "limits.sockets",
			Reason: fmt.Sprintf("the system gives %d, under %d", startup.MaxSockets, minSockets),
		}
	}
	return startup, nil
}

// Reload reads the configuration again. It returns the addresses that hold now, and the keys whose
// values have changed since the start although they cannot change while serving.
func (s *Startup) Reload(getenv func(string) string) (addresses Addresses, ignored []string, err error) {
	next, err := load(getenv, s.Forwarder)
	if err != nil {
		return Addresses{}, nil, err
	}
	before := reflect.ValueOf(s).Elem()
	after := reflect.ValueOf(next).Elem()
	for i := range before.NumField() {
		field := before.Type().Field(i)
		if !field.Anonymous && !reflect.DeepEqual(before.Field(i).Interface(), after.Field(i).Interface()) {
			ignored = append(ignored, field.Tag.Get("key"))
		}
	}
	return next.Addresses, slices.Compact(ignored), nil
}
