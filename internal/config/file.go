package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"swiftcourse/admission"
	"swiftcourse/internal/wire/simulator"
)

// The defaults of the JSON file: the largest limits that the platform ever gives, and a stop that
// leaves a second after a grace period of 2 s.
const (
	defaultStopMs   = 3000
	defaultCores    = 1
	defaultMemoryMb = 192
	defaultSockets  = 1024
)

const (
	millisPerSecond = 1000
	bytesPerMb      = 1 << 20
)

// The keys of the JSON file that errors name.
const (
	nameKey       = "name"
	listenKey     = "listen"
	executorKey   = "processor"
	registryKey   = "roster"
	upstreamKey   = "catalog"
	seedKey       = "seed"
	settingsKey   = "settings"
	classesKey    = settingsKey + "." + simulator.ClassesKey
	tenantsKey    = settingsKey + ".tenants"
	preemptionKey = settingsKey + ".familyInfo.preemption"
)

// file is the platform's configuration as it is written.
type file struct {
	Name     string  `json:"name"`
	Listen   string  `json:"listen"`
	Executor string  `json:"processor"`
	Registry string  `json:"roster"`
	Upstream string  `json:"catalog"`
	Seed     string  `json:"seed"` // hexadecimal
	StopMs   float64 `json:"stop_ms"`
	Limits   struct {
		Cores    float64 `json:"cores"`
		MemoryMb float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Settings *simulator.Settings `json:"settings"`
}

// environment is what a server is told beside the file.
type environment struct {
	name      string // RELAY_NAME, or ""
	listen    string // RELAY_LISTEN, or ""
	forwarder bool   // the program runs as a forwarder
}

// parse checks the text of the JSON file and puts it in the program's terms.
func parse(text []byte, env environment) (*Startup, error) {
	given, err := decode(text)
	if err != nil {
		return nil, err
	}
	err = errors.Join(
		mergeEnvironment(nameKey, &given.Name, nameVariable, env.name),
		mergeEnvironment(listenKey, &given.Listen, listenVariable, env.listen),
	)
	if err != nil {
		return nil, err
	}
	if err := given.checkAddresses(env.forwarder); err != nil {
		return nil, err
	}
	seed, err := strconv.ParseUint(given.Seed, 16, 64)
	if err != nil {
		return nil, &FieldError{Key: seedKey, Value: given.Seed, Reason: "is not a hexadecimal number"}
	}
	if given.Settings == nil {
		return nil, &FieldError{Key: settingsKey, Reason: "missing"}
	}
	if env.forwarder {
		given.dropDependencies()
	}
	if err := given.check(); err != nil {
		return nil, err
	}
	startup, err := given.startup(int64(seed))
	if err != nil {
		return nil, err
	}
	if env.forwarder {
		startup.becomeForwarder()
	}
	return startup, nil
}

// decode reads the JSON over the defaults.
func decode(text []byte) (*file, error) {
	f := &file{StopMs: defaultStopMs}
	f.Limits.Cores = defaultCores
	f.Limits.MemoryMb = defaultMemoryMb
	f.Limits.Sockets = defaultSockets
	err := json.Unmarshal(text, f)
	var mistyped *json.UnmarshalTypeError
	switch {
	case errors.As(err, &mistyped):
		return nil, &FieldError{
			Key:    mistyped.Field,
			Reason: fmt.Sprintf("is a %s, not a %s", mistyped.Value, mistyped.Type),
		}
	case err != nil:
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return f, nil
}

// mergeEnvironment takes what the environment says where the file says nothing; they may not
// differ.
func mergeEnvironment(key string, value *string, variable, given string) error {
	if *value == "" {
		*value = given
	}
	if given == "" || given == *value {
		return nil
	}
	reason := fmt.Sprintf("differs from %s, which is %q", variable, given)
	return &FieldError{Key: key, Value: *value, Reason: reason}
}

// dropDependencies removes what a forwarder's file may name and only its workers use.
func (f *file) dropDependencies() {
	f.Executor = ""
	f.Upstream = ""
	f.Settings.Deployment.Downstream = noDownstream
}

// startup puts the checked file in the program's terms.
func (f *file) startup(seed int64) (*Startup, error) {
	settings := AdmissionSettings(f.Settings)
	var unsupported []string
	if settings.Preemption != admission.NoPreemption {
		// The executor takes no command to stop a run: it goes on to its end or its next call.
		settings.Preemption = admission.NoPreemption
		unsupported = append(unsupported, preemptionKey)
	}
	var classNames, tenantNames []string
	for _, class := range f.Settings.Classes {
		classNames = append(classNames, class.Name)
	}
	for _, tenant := range f.Settings.Tenants {
		tenantNames = append(tenantNames, tenant.Name)
	}
	classIndex, err := indexByName(classesKey, classNames)
	if err != nil {
		return nil, err
	}
	tenantIndex, err := indexByName(tenantsKey, tenantNames)
	if err != nil {
		return nil, err
	}
	return &Startup{
		Name:              f.Name,
		Listen:            f.Listen,
		Addresses:         Addresses{Executor: f.Executor, Registry: f.Registry, Upstream: f.Upstream},
		Seed:              seed,
		StopTimeout:       f.StopMs / millisPerSecond,
		Cores:             f.Limits.Cores,
		MemoryBytes:       int64(f.Limits.MemoryMb * bytesPerMb),
		MaxSockets:        f.Limits.Sockets,
		Settings:          settings,
		SlowStartDuration: f.Settings.Contract.SlowStartMs / millisPerSecond,
		ClassIndex:        classIndex,
		TenantIndex:       tenantIndex,
		ClassNames:        classNames,
		Gauges:            f.Settings.Deployment.Gauges,
		UnsupportedKeys:   unsupported,
	}, nil
}

// becomeForwarder changes what was read for a server to what holds for a forwarder: its workers
// warm up and call downstream, it does neither.
func (s *Startup) becomeForwarder() {
	s.Forwarder = true
	s.WorkerSlowStartDuration = s.SlowStartDuration
	s.SlowStartDuration = 0
	for i := range s.Settings.Classes {
		s.Settings.Classes[i].CallsDownstream = false
	}
}

// indexByName returns each name's index in the list under a key. Names have to be there and to
// differ.
func indexByName(key string, names []string) (map[string]int, error) {
	index := map[string]int{}
	for i, name := range names {
		if _, twice := index[name]; twice || name == "" {
			return nil, &FieldError{
				Key:    fmt.Sprintf("%s[%d].name", key, i),
				Value:  name,
				Reason: "is empty or duplicate",
			}
		}
		index[name] = i
	}
	return index, nil
}
