package config

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"reflect"
	"strconv"
	"strings"
	"time"
)

// valueFault is a value of the operator's file that can't be read.
type valueFault struct {
	text   string
	reason string
}

// setValue reads the values of a key into its field; a list takes them behind those that it has.
func setValue(field reflect.Value, values []string) *valueFault {
	text := values[0]
	var err error
	switch target := field.Addr().Interface().(type) {
	case *bool:
		*target, err = parseSwitch(text)
	case *int:
		*target, err = parseInteger(text)
	case *float64:
		*target, err = parseNumber(text)
	case *time.Duration:
		*target, err = parseDuration(text)
	case *string:
		*target = text
	case *FallbackMode:
		*target = FallbackMode(text)
	case *[]string:
		*target = append(*target, values...)
	case *Fraction:
		err = setFraction(target, text)
	case *[]netip.Prefix:
		return appendPrefixes(target, values)
	default:
		err = fmt.Errorf("can't be read into a field of type %s", field.Type())
	}
	if err != nil {
		return &valueFault{text, err.Error()}
	}
	return nil
}

func parseSwitch(text string) (on bool, err error) {
	if text != "on" && text != "off" {
		return false, errors.New("is neither on nor off")
	}
	return text == "on", nil
}

func parseInteger(text string) (int, error) {
	n, err := strconv.Atoi(text)
	if err != nil {
		return n, errors.New("is not a whole number")
	}
	return n, nil
}

func parseNumber(text string) (float64, error) {
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(x) {
		return x, errors.New("is not a number")
	}
	return x, nil
}

func parseDuration(text string) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	if err != nil {
		return d, errors.New("is not a duration with a unit")
	}
	return d, nil
}

// setFraction reads a number of percent. The field stays as it is where that fails.
func setFraction(target *Fraction, text string) error {
	number, percent := strings.CutSuffix(text, "%")
	x, err := strconv.ParseFloat(number, 64)
	if err != nil || !percent || math.IsNaN(x) {
		return errors.New("is not a percentage")
	}
	*target = Fraction(x / 100)
	return nil
}

// appendPrefixes reads prefixes and single addresses.
func appendPrefixes(target *[]netip.Prefix, values []string) *valueFault {
	for _, value := range values {
		prefix, err := parsePrefix(value)
		if err != nil || prefix.Addr().Is4In6() {
			return &valueFault{value, "is not an address or prefix"}
		}
		*target = append(*target, prefix.Masked())
	}
	return nil
}

// parsePrefix reads a prefix, or an address as the prefix that has it alone.
func parsePrefix(text string) (netip.Prefix, error) {
	if address, err := netip.ParseAddr(text); err == nil {
		return netip.PrefixFrom(address, address.BitLen()), nil
	}
	return netip.ParsePrefix(text)
}
