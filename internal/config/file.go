package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"swiftcourse/admission"
	"swiftcourse/internal/wire/simulator"
)

// The defaults of the JSON file. The limits are the largest that the platform gives to a server.
// The stop timeout leaves one second after a drain grace period of 2 s.
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

// The keys of the JSON file, as named in errors.
const (
	nameKey       = "name"
	listenKey     = "listen"
	executorKey   = "processor"
	registryKey   = "roster"
	upstreamKey   = "catalog"
	seedKey       = "seed"
	stopKey       = "stop_ms"
	coresKey      = "limits.cores"
	memoryKey     = "limits.memory_mb"
	socketsKey    = "limits.sockets"
	settingsKey   = "settings"
	classesKey    = settingsKey + "." + simulator.ClassesKey
	tenantsKey    = settingsKey + ".tenants"
	deploymentKey = settingsKey + ".familyInfo"

	downstreamKey      = deploymentKey + ".below"
	preemptionKey      = deploymentKey + ".preemption"
	backpressureKey    = deploymentKey + ".say"
	deploymentCoresKey = deploymentKey + ".cores"
	memoryLimitKey     = deploymentKey + ".memLimitKb"
)

// jsonFile is the platform's configuration in the form of the JSON file.
type jsonFile struct {
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

// parseOptions are the inputs of parse other than the JSON file.
type parseOptions struct {
	name      string // value of RELAY_NAME, "" if not set
	listen    string // value of RELAY_LISTEN, "" if not set
	forwarder bool   // the server runs as a forwarder
}

// parse decodes and validates the text of the JSON file and converts it to a Startup.
func parse(text []byte, options parseOptions) (*Startup, error) {
	file, err := decode(text)
	if err != nil {
		return nil, err
	}
	err = errors.Join(
		mergeEnvironment(nameKey, &file.Name, nameVariable, options.name),
		mergeEnvironment(listenKey, &file.Listen, listenVariable, options.listen),
	)
	if err != nil {
		return nil, err
	}
	if err := file.validateAddresses(options.forwarder); err != nil {
		return nil, err
	}
	seed, err := strconv.ParseUint(file.Seed, 16, 64)
	if err != nil {
		return nil, &FieldError{Key: seedKey, Value: file.Seed, Reason: "is not a 64-bit hexadecimal number"}
	}
	if file.Settings == nil {
		return nil, &FieldError{Key: settingsKey, Reason: "required key is missing"}
	}
	if options.forwarder {
		file.dropDependencies()
	}
	if err := file.validate(); err != nil {
		return nil, err
	}
	startup, err := file.toStartup(int64(seed))
	if err != nil {
		return nil, err
	}
	if options.forwarder {
		startup.convertToForwarder()
	}
	return startup, nil
}

// decode decodes the JSON. Keys that it leaves out have their default values.
func decode(text []byte) (*jsonFile, error) {
	f := &jsonFile{StopMs: defaultStopMs}
	f.Limits.Cores = defaultCores
	f.Limits.MemoryMb = defaultMemoryMb
	f.Limits.Sockets = defaultSockets
	err := json.Unmarshal(text, f)
	var mistyped *json.UnmarshalTypeError
	switch {
	case errors.As(err, &mistyped):
		return nil, &FieldError{
			Key:    mistyped.Field,
			Reason: fmt.Sprintf("is a JSON %s; expected a value for the Go type %s", mistyped.Value, mistyped.Type),
		}
	case err != nil:
		return nil, fmt.Errorf("decoding the JSON of the configuration: %w", err)
	}
	return f, nil
}

// mergeEnvironment sets the value of a key from an environment variable if the file leaves the key
// out. It returns an error if both have a value and the values differ.
func mergeEnvironment(key string, value *string, environmentVariable, environmentValue string) error {
	if *value == "" {
		*value = environmentValue
	}
	if environmentValue == "" || environmentValue == *value {
		return nil
	}
	reason := fmt.Sprintf("differs from environment variable %s, which is %q", environmentVariable, environmentValue)
	return &FieldError{Key: key, Value: *value, Reason: reason}
}

// dropDependencies removes the dependencies that only the workers of a forwarder use. A forwarder's
// file may name them.
func (f *jsonFile) dropDependencies() {
	f.Executor = ""
	f.Upstream = ""
	f.Settings.Deployment.Downstream = noDownstream
}

// toStartup converts the validated file to a Startup.
func (f *jsonFile) toStartup(seed int64) (*Startup, error) {
	settings := AdmissionSettings(f.Settings)
	var unsupported []string
	if settings.Preemption != admission.NoPreemption {
		// The executor has no command to stop a run: a run goes on to its end or its next call.
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

// convertToForwarder changes a server's configuration to a forwarder's: slow start and downstream
// calls concern its workers, not the forwarder itself.
func (s *Startup) convertToForwarder() {
	s.Forwarder = true
	s.WorkerSlowStartDuration = s.SlowStartDuration
	s.SlowStartDuration = 0
	for i := range s.Settings.Classes {
		s.Settings.Classes[i].CallsDownstream = false
	}
}

// indexByName maps each name of a list to its index. It returns an error, with the list's key in the
// file, if a name is empty or not unique.
func indexByName(key string, names []string) (map[string]int, error) {
	index := map[string]int{}
	for i, name := range names {
		if _, duplicate := index[name]; duplicate || name == "" {
			return nil, &FieldError{
				Key:    fmt.Sprintf("%s[%d].name", key, i),
				Value:  name,
				Reason: "is empty or repeats the name of an earlier entry",
			}
		}
		index[name] = i
	}
	return index, nil
}
