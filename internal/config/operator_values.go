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

// invalidValue is a value of the operator's file that can't be parsed, and the reason.
type invalidValue struct {
	text   string
	reason string
}

// setValue parses the values of a key and sets its field: it appends all values to a list, and sets
// any other field to the first value.
func setValue(field reflect.Value, values []string) *invalidValue {
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
		err = fmt.Errorf("can't be parsed for a field of type %s", field.Type())
	}
	if err != nil {
		return &invalidValue{text, err.Error()}
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
		return n, errors.New("is not an integer")
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

// setFraction parses a percentage. An error leaves the target unchanged.
func setFraction(target *Fraction, text string) error {
	number, percent := strings.CutSuffix(text, "%")
	x, err := strconv.ParseFloat(number, 64)
	if err != nil || !percent || math.IsNaN(x) {
		return errors.New("is not a percentage")
	}
	*target = Fraction(x / 100)
	return nil
}

// appendPrefixes parses prefixes and single addresses and appends them to the target.
func appendPrefixes(target *[]netip.Prefix, values []string) *invalidValue {
	for _, value := range values {
		prefix, err := parsePrefix(value)
		if err != nil || prefix.Addr().Is4In6() {
			return &invalidValue{value, "is not an IP address or prefix"}
		}
		*target = append(*target, prefix.Masked())
	}
	return nil
}

// parsePrefix parses a prefix, or an address as a prefix that contains only that address.
func parsePrefix(text string) (netip.Prefix, error) {
	if address, err := netip.ParseAddr(text); err == nil {
		return netip.PrefixFrom(address, address.BitLen()), nil
	}
	return netip.ParsePrefix(text)
}
