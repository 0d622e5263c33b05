// Package config holds how the server starts and stops: the one place where configuration is read, checked and
// given defaults, and the signals that end a life.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"reflect"
	"slices"
	"strconv"
	"syscall"

	"swiftcourse/admission"
	"swiftcourse/internal/wire/shale"
)

// Startup is all that the server was told, checked and in our words.
type Startup struct { // a field's key is what sets it
	Name   string `key:"name"`
	Listen string `key:"listen"`
	Addresses
	Seed                    int64              `key:"seed"`
	StopTimeout             float64            `key:"stop_ms"` // seconds from the notice to leave to the kill
	Cores                   float64            `key:"limits"`  // what this program may use, as are the two below
	MemoryBytes             int64              `key:"limits"`  // bytes
	MaxSockets              int                `key:"limits"`
	Forwarder               bool               // tasks go on to workers, so there is no processor, and nothing below is called from here
	Settings                admission.Settings `key:"settings"`
	SlowStartDuration       float64            `key:"settings"` // how long a cold processor takes to warm up
	WorkerSlowStartDuration float64            `key:"settings"` // of a forwarder: how long its workers' processors do
	ClassIndex              map[string]int     `key:"settings"` // by name, as are the tenants
	TenantIndex             map[string]int     `key:"settings"`
	ClassNames              []string           `key:"settings"`
	Gauges                  []string           `key:"settings"`
	UnsupportedKeys         []string           `key:"settings"` // keys of what the site allows and this protocol has no word for; it is done without
}

// Addresses are where the other parties are, the part of the configuration that may change while serving.
type Addresses struct{ Executor, Registry, Upstream string } // no Catalogue at the last tier

// file is the configuration as it is written.
type file struct {
	Name      string  `json:"name"`
	Listen    string  `json:"listen"`
	Processor string  `json:"processor"`
	Roster    string  `json:"roster"`
	Catalog   string  `json:"catalog"`
	Seed      string  `json:"seed"`
	StopMs    float64 `json:"stop_ms"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMb float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Settings *shale.Told `json:"settings"`
}

// Load reads the configuration from the environment and the file that it names.
func Load(getenv func(string) string) (*Startup, error) { return read(getenv, false) }

// LoadForwarder reads a forwarder's, which may lack processor and catalog.
func LoadForwarder(getenv func(string) string) (*Startup, error) { return read(getenv, true) }

func read(getenv func(string) string, forwards bool) (*Startup, error) {
	path := getenv("RELAY_CONFIG")
	if path == "" {
		return nil, errors.New("RELAY_CONFIG: not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("RELAY_CONFIG: %w", err)
	}
	start, err := parse(text, getenv("RELAY_NAME"), getenv("RELAY_LISTEN"), forwards)
	if err != nil {
		return nil, err
	}
	if start.MaxSockets = min(start.MaxSockets, maxOpenFiles()); start.MaxSockets < minSockets { // else accept would fail, and end the loop
		return nil, fmt.Errorf("limits.sockets: the system gives %d, under %d", start.MaxSockets, minSockets)
	}
	return start, nil
}

// minSockets leave balancers half of themselves.
const minSockets = 64

// maxOpenFiles is how many this process may have.
func maxOpenFiles() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return math.MaxInt32
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// Parse checks the configuration's text; name and listen are what the environment says, or "".
func Parse(text []byte, name, listen string) (*Startup, error) {
	return parse(text, name, listen, false)
}

func parse(text []byte, name, listen string, forwards bool) (*Startup, error) {
	var f file
	// The defaults: the largest limits that are ever given, and a stop that leaves a second after a grace of 2 s.
	f.StopMs, f.Limits.Cores, f.Limits.MemoryMb, f.Limits.Sockets = 3000, 1, 192, 1024
	if err := json.Unmarshal(text, &f); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			return nil, fmt.Errorf("%s: is a %s, not a %s", wrong.Field, wrong.Value, wrong.Type)
		}
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if err := errors.Join(mergeEnvironment("name", "RELAY_NAME", &f.Name, name),
		mergeEnvironment("listen", "RELAY_LISTEN", &f.Listen, listen)); err != nil {
		return nil, err
	}
	for _, a := range []struct{ key, value string }{{"listen", f.Listen}, {"processor", f.Processor},
		{"roster", f.Roster}, {"catalog", f.Catalog}} {
		if a.value == "" && a.key == "catalog" || forwards && (a.key == "catalog" || a.key == "processor") {
			continue // the last tier has none, and workers have their own
		}
		if _, err := net.ResolveTCPAddr("tcp", a.value); err != nil || a.value == "" {
			return nil, fmt.Errorf("%s: %q is not an address", a.key, a.value)
		}
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: %q is not a hexadecimal number", f.Seed)
	}
	if f.Settings == nil {
		return nil, errors.New("settings: missing")
	}
	s := f.Settings
	if forwards {
		f.Processor, f.Catalog, s.Own.Below = "", "", "none"
	}
	switch {
	case f.Name == "":
		err = errors.New("name: missing")
	case f.StopMs < 100 || f.StopMs > 600_000:
		err = fmt.Errorf("stop_ms: %g is not from 100 to 600000", f.StopMs)
	case f.Limits.Cores <= 0 || f.Limits.Cores > 1024:
		err = fmt.Errorf("limits.cores: %g is not over 0 and at most 1024", f.Limits.Cores)
	case f.Limits.MemoryMb < 24 || f.Limits.MemoryMb > 1<<20:
		err = fmt.Errorf("limits.memory_mb: %g is not from 24 to %d", f.Limits.MemoryMb, 1<<20)
	case f.Limits.Sockets < minSockets:
		err = fmt.Errorf("limits.sockets: %d is under %d", f.Limits.Sockets, minSockets)
	default:
		if err = checkRanges("settings", reflect.ValueOf(s).Elem(), math.Inf(1)); err == nil {
			err = checkSettings(s, f.Catalog)
		}
	}
	if err != nil {
		return nil, err
	}
	site := AdmissionSettings(s)
	var unused []string
	if site.Preemption != admission.NoPreemption { // the processor takes no command to stop a run: it goes on to its end or its next call
		site.Preemption, unused = admission.NoPreemption, append(unused, "settings.familyInfo.preemption")
	}
	start := &Startup{Name: f.Name, Listen: f.Listen,
		Addresses: Addresses{Executor: f.Processor, Registry: f.Roster, Upstream: f.Catalog},
		Seed:      int64(seed), StopTimeout: f.StopMs / 1000, Cores: f.Limits.Cores, MemoryBytes: int64(f.Limits.MemoryMb * (1 << 20)),
		MaxSockets: f.Limits.Sockets, Settings: site, SlowStartDuration: s.Contract.ColdMs / 1000, Gauges: s.Own.Gauges, UnsupportedKeys: unused,
		ClassIndex: map[string]int{}, TenantIndex: map[string]int{}, Forwarder: forwards}
	if forwards {
		start.WorkerSlowStartDuration, start.SlowStartDuration = start.SlowStartDuration, 0
		for i := range start.Settings.Classes {
			start.Settings.Classes[i].CallsDownstream = false
		}
	}
	for i, stage := range s.Stages {
		if _, twice := start.ClassIndex[stage.Name]; twice || stage.Name == "" {
			return nil, fmt.Errorf("%s[%d].name: %q is empty or there twice", classesKey, i, stage.Name)
		}
		start.ClassIndex[stage.Name], start.ClassNames = i, append(start.ClassNames, stage.Name)
	}
	for i, tenant := range s.Tenants {
		if _, twice := start.TenantIndex[tenant.Name]; twice || tenant.Name == "" {
			return nil, fmt.Errorf("settings.tenants[%d].name: %q is empty or there twice", i, tenant.Name)
		}
		start.TenantIndex[tenant.Name] = i
	}
	return start, nil
}

// Reload reads the configuration once more. It gives the addresses that hold now, and the keys that say
// something else than at the start although they can't change while serving.
func (s *Startup) Reload(getenv func(string) string) (to Addresses, ignored []string, err error) {
	next, err := read(getenv, s.Forwarder)
	if err != nil {
		return to, nil, err
	}
	was := reflect.ValueOf(s).Elem()
	for i := range was.NumField() {
		field := was.Type().Field(i)
		if !field.Anonymous && !reflect.DeepEqual(was.Field(i).Interface(), reflect.ValueOf(next).Elem().Field(i).Interface()) {
			ignored = append(ignored, field.Tag.Get("key"))
		}
	}
	return next.Addresses, slices.Compact(ignored), nil
}

// mergeEnvironment takes what the environment says where the file says nothing; they may not differ.
func mergeEnvironment(key, variable string, value *string, env string) error {
	switch {
	case *value == "":
		*value = env
	case env != "" && env != *value:
		return fmt.Errorf("%s: %q, but %s says %q", key, *value, variable, env)
	}
	return nil
}

// checkRanges checks every number of the settings, and names the key of the first that is out of its range.
func checkRanges(key string, v reflect.Value, most float64) error {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			field := v.Type().Field(i)
			top := math.Inf(1)
			if tag, has := field.Tag.Lookup("most"); has {
				top, _ = strconv.ParseFloat(tag, 64) // the tags are the program's own
			}
			if err := checkRanges(key+"."+field.Tag.Get("json"), v.Field(i), top); err != nil {
				return err
			}
		}
	case reflect.Slice:
		for i := range v.Len() {
			if err := checkRanges(fmt.Sprintf("%s[%d]", key, i), v.Index(i), most); err != nil {
				return err
			}
		}
	case reflect.Int, reflect.Float64:
		if n := v.Convert(reflect.TypeFor[float64]()).Float(); n < 0 || n > most {
			return fmt.Errorf("%s: %g is not from 0 to %g", key, n, most)
		}
	}
	return nil
}

// classesKey is where the settings list the stages.
const classesKey = "settings." + shale.StagesKey

// checkSettings checks what has to be there, the words, and what the sockets' protocol can't carry out.
func checkSettings(s *shale.Told, catalog string) error {
	f := &s.Own
	word := func(key, word string, known bool) error {
		if known {
			return nil
		}
		return fmt.Errorf("settings.%s: %q is not known", key, word)
	}
	_, below := downstreamKinds[f.Below]
	_, stopping := preemptionKinds[f.Stopping]
	_, free := backpressureKinds[f.Free]
	if err := errors.Join(word("familyInfo.below", f.Below, below),
		word("familyInfo.preemption", f.Stopping, stopping), word("familyInfo.say", f.Free, free)); err != nil {
		return err
	}
	switch {
	case len(s.Stages) == 0:
		return fmt.Errorf("%s: empty", classesKey)
	case f.Cores < 1:
		return errors.New("settings.familyInfo.cores: under 1")
	case f.MemoryKb <= 0:
		return errors.New("settings.familyInfo.memLimitKb: not over 0")
	case downstreamKinds[f.Below] != admission.NoDownstream && catalog == "":
		return fmt.Errorf("catalog: missing, though settings.familyInfo.below is %q", f.Below)
	}
	for i, c := range s.Stages {
		key := fmt.Sprintf("%s[%d].", classesKey, i)
		effect, known := idempotencyKinds[c.Effect]
		switch {
		case !known:
			return fmt.Errorf("%seffect: %q is not known", key, c.Effect)
		case effect == admission.Deduplicated && c.WindowMs <= 0:
			return fmt.Errorf("%swindowMs: not over 0, though %seffect is %q", key, key, c.Effect)
		case c.TimeLimitMs <= 0 || c.DueTimeMs <= 0:
			return fmt.Errorf("%shardLimitMs or objectiveMs: not over 0", key)
		}
	}
	return nil
}
