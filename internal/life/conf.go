package life

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

// Conf is the operator's file: what may be set beyond what the platform tells. Without it, or without a key, all of it is off or
// as the default says. A field's tag names its key; `validate` is what the library checks, and `right` tells people what would be right.
type Conf struct {
	Door         bool           `key:"door" right:"on or off"`
	Known        []netip.Prefix `key:"door-known" validate:"max=256" right:"prefixes such as 10.1.0.0/16, at most 256; the key may be repeated"`
	Reserve      Share          `key:"door-reserve" default:"25%" validate:"gte=0,lte=0.9" right:"a part of the places, from 0% to 90%"`
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
	Share        Share          `key:"door-share" default:"10%" validate:"gte=0.01,lte=1" right:"a part of a core, from 1% to 100%"`
}

// Share is a part of something; it is written as a number of percent.
type Share float64

// confVariable names the file where the command line does not.
const confVariable = "SWIFTCOURSE_CONF"

// ConfPath is the operator's file: what the command line says, or else the environment; "" is none.
func ConfPath(flag string, getenv func(string) string) string {
	if flag != "" {
		return flag
	}
	return getenv(confVariable)
}

// ReadConf reads the operator's file; "" gives the defaults, with all off. The error tells everything that is wrong, a line each.
func ReadConf(path string) (*Conf, error) {
	if path == "" {
		return ParseConf("", nil)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseConf(path, text)
}

// ParseConf reads the text of the operator's file: a key and its values on each line, # begins a comment.
func ParseConf(file string, text []byte) (*Conf, error) {
	c := &Conf{}
	fields, lines := map[string]reflect.StructField{}, map[string]int{}
	var keys []string
	for _, f := range reflect.VisibleFields(reflect.TypeFor[Conf]()) {
		key := f.Tag.Get("key")
		fields[key], keys = f, append(keys, key)
		if given, ok := f.Tag.Lookup("default"); ok {
			if err := set(reflect.ValueOf(c).Elem().FieldByIndex(f.Index), []string{given}); err != nil {
				return nil, fmt.Errorf("default of %s: %w", key, err)
			}
		}
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
			f, _ := reflect.TypeFor[Conf]().FieldByName(fault.StructField())
			wrong(lines[f.Tag.Get("key")], f.Tag.Get("key"), "%v is out of range; right would be %s", fault.Value(), f.Tag.Get("right"))
		}
	} else if err != nil {
		all = append(all, err)
	}
	return c, errors.Join(all...)
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
	case *Share:
		text, percent := strings.CutSuffix(one, "%")
		part, err := strconv.ParseFloat(text, 64)
		if err != nil || !percent || part != part {
			return fmt.Errorf("%q is no number of percent", one)
		}
		*to = Share(part / 100)
	case *time.Duration:
		if *to, err = time.ParseDuration(one); err != nil {
			err = fmt.Errorf("%q is no time with a unit", one)
		}
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
