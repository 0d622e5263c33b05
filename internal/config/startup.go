package config

import (
	"fmt"
	"os"
	"reflect"
	"slices"

	"swiftcourse/admission"
	"swiftcourse/internal/lifecycle"
)

// The environment variables with which the platform configures a server.
const (
	fileVariable   = "RELAY_CONFIG" // path of the JSON file
	nameVariable   = "RELAY_NAME"
	listenVariable = "RELAY_LISTEN"
)

// minSockets is the minimum number of sockets that a server needs to start. Clients may use half of
// them.
const minSockets = 64

// Startup is the platform's configuration after validation. Its durations are in seconds, as in
// package admission. The tag `key` of a field is the top-level key of the JSON file that sets the
// field.
type Startup struct {
	Name   string `key:"name"`
	Listen string `key:"listen"` // address
	Addresses
	Seed        int64   `key:"seed"`
	StopTimeout float64 `key:"stop_ms"` // from the stop signal until the platform kills the process
	Cores       float64 `key:"limits"`  // number of cores that this process may use
	MemoryBytes int64   `key:"limits"`
	MaxSockets  int     `key:"limits"`

	// Forwarder is set if the server forwards requests to workers. It then has no executor and
	// makes no downstream calls.
	Forwarder bool

	Settings                admission.Settings `key:"settings"`
	SlowStartDuration       float64            `key:"settings"` // warm-up time of a cold executor
	WorkerSlowStartDuration float64            `key:"settings"` // the same, for a forwarder's workers
	ClassIndex              map[string]int     `key:"settings"` // into Settings.Classes, by name
	TenantIndex             map[string]int     `key:"settings"` // into Settings.Tenants, by name
	ClassNames              []string           `key:"settings"`
	Gauges                  []string           `key:"settings"` // gauges to request from the executor

	// UnsupportedKeys are the keys of settings that are ignored because the executor's protocol has
	// no message for them.
	UnsupportedKeys []string `key:"settings"`
}

// Addresses are the addresses of the server's dependencies. No other part of the configuration may
// change while the server runs.
type Addresses struct {
	Executor string // "" for a forwarder
	Registry string
	Upstream string // "" on the last tier, which makes no calls
}

// Load reads the configuration of a server from the environment variables and the JSON file.
func Load(getenv func(string) string) (*Startup, error) { return load(getenv, false) }

// LoadForwarder is like Load, for a forwarder, which needs neither an executor nor an upstream.
func LoadForwarder(getenv func(string) string) (*Startup, error) { return load(getenv, true) }

func load(getenv func(string) string, forwarder bool) (*Startup, error) {
	path := getenv(fileVariable)
	if path == "" {
		return nil, &FieldError{Key: fileVariable, Reason: "environment variable is not set"}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", fileVariable, err)
	}
	startup, err := parse(text, parseOptions{
		name:      getenv(nameVariable),
		listen:    getenv(listenVariable),
		forwarder: forwarder,
	})
	if err != nil {
		return nil, err
	}
	startup.MaxSockets = min(startup.MaxSockets, lifecycle.MaxOpenFiles())
	if startup.MaxSockets < minSockets { // with too few, accept fails and ends the event loop
		return nil, &FieldError{
			Key:    socketsKey,
			Reason: fmt.Sprintf("the process may open %d files; expected at least %d", startup.MaxSockets, minSockets),
		}
	}
	return startup, nil
}

// Reload reads the configuration again. It returns the new addresses, and the keys that have
// changed but are ignored because they take effect only at a start.
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
