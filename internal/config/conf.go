package config

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/agnivade/levenshtein"
	"github.com/go-playground/validator/v10"
)

// OperatorSettings is the operator's file: what may be set beyond what the platform tells. Without it, or without a key, all of it is off or
// as the default says. A field's tag names its key; `validate` is what the library checks, and `right` tells people what would be right.
type OperatorSettings struct {
	Door         bool           `key:"door" right:"on or off"`
	Known        []netip.Prefix `key:"door-known" validate:"max=256" right:"prefixes such as 10.1.0.0/16, at most 256; the key may be repeated"`
	Reserve      Fraction       `key:"door-reserve" default:"25%" validate:"gte=0,lte=0.9" right:"a part of the places, from 0% to 90%"`
	PerAddress   int            `key:"door-per-address" default:"0" validate:"gte=0,lte=1000000" right:"a number of connections, 0 for no cap"`
	PerPrefix    int            `key:"door-per-prefix" default:"0" validate:"gte=0,lte=1000000" right:"a number of connections, 0 for no cap"`
	RateAddress  float64        `key:"door-arrivals-per-address" default:"50" validate:"gte=0,lte=1000000" right:"arrivals a second, 0 for no cap"`
	RatePrefix   float64        `key:"door-arrivals-per-prefix" default:"0" validate:"gte=0,lte=1000000" right:"arrivals a second, 0 for no cap"`
	V4           int            `key:"door-prefix-ipv4" default:"24" validate:"gte=8,lte=32" right:"bits, from 8 to 32"`
	V6           int            `key:"door-prefix-ipv6" default:"56" validate:"gte=16,lte=128" right:"bits, from 16 to 128"`
	Lobby        int            `key:"door-lobby" default:"16" validate:"gte=1,lte=1024" right:"a number of places, from 1 to 1024"`
	Remember     int            `key:"door-remember" default:"4096" validate:"gte=64,lte=1000000" right:"a number of addresses, from 64 to 1000000; each takes 300 bytes"`
	Earn         int            `key:"door-earn" default:"3" validate:"gte=1,lte=60" right:"a number of tasks, from 1 to 60"`
	Forget       time.Duration  `key:"door-forget" default:"10m" validate:"gte=1s,lte=24h" right:"a time such as 10m, from 1s to 24h"`
	ComeBack     time.Duration  `key:"door-come-back" default:"200ms" validate:"gte=1ms,lte=1h" right:"a time such as 200ms, from 1ms to 1h"`
	ComeBackMost time.Duration  `key:"door-come-back-most" default:"10s" validate:"gtefield=ComeBack,lte=1h" right:"a time from door-come-back to 1h"`
	Share        Fraction       `key:"door-share" default:"10%" validate:"gte=0.01,lte=1" right:"a part of a core, from 1% to 100%"`

	Fleet        bool          `key:"fleet" right:"on or off"`
	FleetListen  string        `key:"fleet-listen" validate:"required_if=Fleet true,omitempty,tcp_addr" right:"an address such as 10.0.0.4:7946"`
	FleetControl string        `key:"fleet-control" validate:"omitempty,tcp_addr" right:"an address such as 127.0.0.1:7950, where operators ask"`
	FleetVoters  []string      `key:"fleet-voters" validate:"required_if=Fleet true,max=15" right:"names with addresses, such as n1=10.0.0.4:7946, at most 15; the key may be repeated"`
	FleetJoin    []string      `key:"fleet-join" validate:"max=256,dive,tcp_addr" right:"addresses of some others; the key may be repeated"`
	FleetLease   time.Duration `key:"fleet-lease" default:"6s" validate:"gte=1s,lte=10m" right:"a time such as 6s, from 1s to 10m"`
	FleetBehind  time.Duration `key:"fleet-behind" default:"10s" validate:"gte=1s,lte=1h" right:"a time such as 10s, from 1s to 1h"`
	FleetSilent  string        `key:"fleet-silent" default:"keep" validate:"oneof=keep shield leave" right:"keep, shield or leave"`
	FleetMostOut Fraction      `key:"fleet-most-out" default:"25%" validate:"gte=0,lte=1" right:"a part of the fleet, from 0% to 100%"`
	FleetForget  time.Duration `key:"fleet-forget" default:"10m" validate:"gtefield=FleetLease,lte=24h" right:"a time from fleet-lease to 24h"`
	FleetWave    time.Duration `key:"fleet-wave" default:"30s" validate:"gte=0s,lte=1h" right:"a time such as 30s, up to 1h"`
	FleetHalt    Fraction      `key:"fleet-halt" default:"99.99%" validate:"gte=0.5,lte=1" right:"how sure harm has to be, from 50% to 100%"`

	ReplicaHolders []string      `key:"replica-holders" validate:"max=64" right:"names, with zone and weight where they matter, such as n1 n2/east n3/west/2, at most 64; the key may be repeated"`
	ReplicaKeyed   []string      `key:"replica-keyed" validate:"max=64" right:"stages whose tasks bear an idempotency key as their subject; the key may be repeated"`
	ReplicaCopies  int           `key:"replica-copies" default:"3" validate:"gte=1,lte=7" right:"a number of copies, from 1 to 7"`
	ReplicaWindow  time.Duration `key:"replica-window" default:"1m" validate:"gte=1s,lte=24h" right:"a time such as 1m, from 1s to 24h"`
	ReplicaRecords int           `key:"replica-records" default:"100000" validate:"gte=1000,lte=10000000" right:"a number of keys, from 1000 to 10000000; each takes 400 bytes and its result"`
	ReplicaMemory  int           `key:"replica-memory-mb" default:"64" validate:"gte=1,lte=65536" right:"megabytes, from 1 to 65536"`
	ReplicaCallers bool          `key:"replica-callers" right:"on or off"`
	Budgets        []string      `key:"budget" validate:"max=16384" right:"budgets of the whole fleet such as tenant/acme=100 (tasks a second) or calls=40 (at a time); the key may be repeated"`
	Below          bool          `key:"fleet-below" right:"on or off"`
	Counts         bool          `key:"fleet-counts" right:"on or off"`
	Zone           string        `key:"fleet-zone" validate:"max=64" right:"a name of at most 64 letters"`
	BudgetFloor    Fraction      `key:"budget-floor" default:"10%" validate:"gte=0.01,lte=0.9" right:"a part of each budget, from 1% to 90%"`
	BudgetServers  int           `key:"budget-servers" default:"0" validate:"gte=0,lte=4096" right:"the most processes that there may be at a time, from 1 to 4096"`

	ForwardTo    []string `key:"forward-to" validate:"max=4096" right:"workers with addresses, such as w1=10.0.0.9:8000; the key may be repeated"`
	ForwardSlots int      `key:"forward-slots" default:"0" validate:"gte=0,lte=1000000" right:"tasks that may be at workers at a time, 0 for as many as the workers' cores"`

	ReplicaRate int `key:"replica-rate-kb" default:"4096" validate:"gte=16,lte=1048576" right:"kilobytes a second, from 16 to 1048576"`
}

// Fraction is a part of something; it is written as a number of percent.
type Fraction float64

// operatorFileVariable names the file where the command line does not.
const operatorFileVariable = "SWIFTCOURSE_CONF"

// OperatorFilePath is the operator's file: what the command line says, or else the environment; "" is none.
func OperatorFilePath(flag string, getenv func(string) string) string {
	if flag != "" {
		return flag
	}
	return getenv(operatorFileVariable)
}

// LoadOperatorSettings reads the operator's file; "" gives the defaults, with all off. The error tells everything that is wrong, a line each.
func LoadOperatorSettings(path string) (*OperatorSettings, error) {
	if path == "" {
		return DefaultOperatorSettings(), nil // unchecked, which a test does: the checks' library stays out of a server that has no file
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseOperatorSettings(path, text)
}

// ParseOperatorSettings reads the text of the operator's file: a key and its values on each line, # begins a comment.
func ParseOperatorSettings(file string, text []byte) (*OperatorSettings, error) {
	c := DefaultOperatorSettings()
	err := c.read(file, text)
	return c, err
}

// DefaultOperatorSettings is what holds where no file says anything.
func DefaultOperatorSettings() *OperatorSettings {
	c := &OperatorSettings{}
	for _, f := range reflect.VisibleFields(reflect.TypeFor[OperatorSettings]()) {
		if given, ok := f.Tag.Lookup("default"); ok {
			if err := set(reflect.ValueOf(c).Elem().FieldByIndex(f.Index), []string{given}); err != nil {
				panic(fmt.Sprintf("default of %s: %v", f.Tag.Get("key"), err)) // the tags are the program's own
			}
		}
	}
	return c
}

// WithRelease is the file with a released text over it: the keys that the text has replace the file's own.
func (c *OperatorSettings) WithRelease(epoch, text string) (*OperatorSettings, error) {
	over := *c
	if text == "" {
		return &over, nil
	}
	for line := range strings.Lines(text) {
		words := strings.Fields(line)
		if len(words) > 0 && words[0] == "door-known" {
			over.Known = nil
		}
		if len(words) > 0 && words[0] == "budget" {
			over.Budgets = nil
		}
		if len(words) > 0 && (strings.HasPrefix(words[0], "fleet") || strings.HasPrefix(words[0], "replica")) {
			return nil, fmt.Errorf("%s: %s: belongs to each server's own file", epoch, words[0])
		}
	}
	err := over.read(epoch, []byte(text))
	return &over, err
}

// CanonicalText is a text of settings as a version carries it: no comments, single blanks, the keys in order, so that two texts that say the same
// have one digest. Lines of one key keep their order.
func CanonicalText(text string) string {
	var lines []string
	for line := range strings.Lines(text) {
		line, _, _ = strings.Cut(line, "#")
		if words := strings.Fields(line); len(words) > 0 {
			lines = append(lines, strings.Join(words, " "))
		}
	}
	slices.SortStableFunc(lines, func(a, b string) int {
		keyA, _, _ := strings.Cut(a, " ")
		keyB, _, _ := strings.Cut(b, " ")
		return strings.Compare(keyA, keyB)
	})
	if len(lines) == 0 {
		return ""
	}
	return strings.Join(lines, "\n") + "\n"
}

// read takes a text over what is there. The error tells everything that is wrong, a line each.
func (c *OperatorSettings) read(file string, text []byte) error {
	fields, lines := map[string]reflect.StructField{}, map[string]int{}
	var keys []string
	for _, f := range reflect.VisibleFields(reflect.TypeFor[OperatorSettings]()) {
		key := f.Tag.Get("key")
		fields[key], keys = f, append(keys, key)
	}
	var all []error
	wrong := func(line int, key, format string, a ...any) {
		all = append(all, fmt.Errorf("%s:%d: %s: %s", file, line, key, fmt.Sprintf(format, a...)))
	}
	in := bufio.NewScanner(bytes.NewReader(text))
	for n := 1; in.Scan(); n++ {
		line, _, _ := strings.Cut(in.Text(), "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		key, values := words[0], words[1:]
		f, known := fields[key]
		switch {
		case !known:
			wrong(n, key, "no such key; the nearest is %s", nearest(key, keys))
		case len(values) == 0:
			wrong(n, key, "has no value; right would be %s", f.Tag.Get("right"))
		case f.Type.Kind() != reflect.Slice && lines[key] > 0:
			wrong(n, key, "is there already, on line %d", lines[key])
		case f.Type.Kind() != reflect.Slice && len(values) > 1:
			wrong(n, key, "has %d values; right would be %s", len(values), f.Tag.Get("right"))
		default:
			lines[key] = n
			if err := set(reflect.ValueOf(c).Elem().FieldByIndex(f.Index), values); err != nil {
				wrong(n, key, "%v; right would be %s", err, f.Tag.Get("right"))
			}
		}
	}
	if err := in.Err(); err != nil {
		all = append(all, fmt.Errorf("%s: %w", file, err))
	}
	var faults validator.ValidationErrors
	if err := validator.New().Struct(c); errors.As(err, &faults) {
		for _, fault := range faults {
			f, _ := reflect.TypeFor[OperatorSettings]().FieldByName(fault.StructField())
			wrong(lines[f.Tag.Get("key")], f.Tag.Get("key"), "%v is out of range; right would be %s", fault.Value(), f.Tag.Get("right"))
		}
	} else if err != nil {
		all = append(all, err)
	}
	return errors.Join(all...)
}

// set reads a field's values; a list takes them behind those that it has.
func set(v reflect.Value, values []string) (err error) {
	one := values[0]
	switch to := v.Addr().Interface().(type) {
	case *bool:
		*to = one == "on"
		if one != "on" && one != "off" {
			err = fmt.Errorf("%q is neither on nor off", one)
		}
	case *int:
		if *to, err = strconv.Atoi(one); err != nil {
			err = fmt.Errorf("%q is no whole number", one)
		}
	case *float64:
		if *to, err = strconv.ParseFloat(one, 64); err != nil || *to != *to {
			err = fmt.Errorf("%q is no number", one)
		}
	case *Fraction:
		text, percent := strings.CutSuffix(one, "%")
		part, err := strconv.ParseFloat(text, 64)
		if err != nil || !percent || part != part {
			return fmt.Errorf("%q is no number of percent", one)
		}
		*to = Fraction(part / 100)
	case *time.Duration:
		if *to, err = time.ParseDuration(one); err != nil {
			err = fmt.Errorf("%q is no time with a unit", one)
		}
	case *string:
		*to = one
	case *[]string:
		*to = append(*to, values...)
	case *[]netip.Prefix:
		for _, value := range values {
			p, err := netip.ParsePrefix(value)
			if addr, err2 := netip.ParseAddr(value); err2 == nil {
				p, err = netip.PrefixFrom(addr, addr.BitLen()), nil
			}
			if err != nil || p.Addr().Is4In6() {
				return fmt.Errorf("%q is no address or prefix", value)
			}
			*to = append(*to, p.Masked())
		}
	default:
		err = fmt.Errorf("a field of type %s", v.Type())
	}
	return err
}

// nearest is the known key that a wrong one is most like.
func nearest(key string, known []string) string {
	return slices.MinFunc(known, func(a, b string) int {
		return levenshtein.ComputeDistance(a, key) - levenshtein.ComputeDistance(b, key)
	})
}
