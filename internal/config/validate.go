package config

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"net"
	"reflect"
	"slices"
	"strconv"

	"swiftcourse/admission"
	"swiftcourse/internal/wire/simulator"
)

// The valid ranges of the numbers at the top level and under limits in the JSON file.
const (
	minStopMs   = 100
	maxStopMs   = 600_000
	maxCores    = 1024
	minMemoryMb = 24
	maxMemoryMb = 1 << 20
)

// validateAddresses checks the addresses of the server and its dependencies. The last tier has no
// upstream. A forwarder uses neither an executor nor an upstream, as its workers have their own.
func (f *jsonFile) validateAddresses(forwarder bool) error {
	addresses := []struct {
		key      string
		value    string
		optional bool // may be left out
		unused   bool // not checked
	}{
		{key: listenKey, value: f.Listen},
		{key: executorKey, value: f.Executor, unused: forwarder},
		{key: registryKey, value: f.Registry},
		{key: upstreamKey, value: f.Upstream, optional: true, unused: forwarder},
	}
	for _, address := range addresses {
		if address.unused || address.optional && address.value == "" {
			continue
		}
		if _, err := net.ResolveTCPAddr("tcp", address.value); err != nil || address.value == "" {
			return &FieldError{
				Key:    address.key,
				Value:  address.value,
				Reason: "is not a TCP address such as 127.0.0.1:8080",
			}
		}
	}
	return nil
}

// validate checks everything except the addresses and the seed, and returns an error for the first
// fault.
func (f *jsonFile) validate() error {
	if err := f.validateLimits(); err != nil {
		return err
	}
	if err := checkRanges(settingsKey, reflect.ValueOf(f.Settings).Elem(), math.Inf(1)); err != nil {
		return err
	}
	return checkSettings(f.Settings, f.Upstream)
}

func (f *jsonFile) validateLimits() error {
	limits := &f.Limits
	switch {
	case f.Name == "":
		return &FieldError{Key: nameKey, Reason: "required key is missing"}
	case f.StopMs < minStopMs || f.StopMs > maxStopMs:
		return &FieldError{
			Key:    stopKey,
			Value:  f.StopMs,
			Reason: fmt.Sprintf("is out of range; expected from %d to %d", minStopMs, maxStopMs),
		}
	case limits.Cores <= 0 || limits.Cores > maxCores:
		return &FieldError{
			Key:    coresKey,
			Value:  limits.Cores,
			Reason: fmt.Sprintf("is out of range; expected more than 0 and at most %d", maxCores),
		}
	case limits.MemoryMb < minMemoryMb || limits.MemoryMb > maxMemoryMb:
		return &FieldError{
			Key:    memoryKey,
			Value:  limits.MemoryMb,
			Reason: fmt.Sprintf("is out of range; expected from %d to %d", minMemoryMb, maxMemoryMb),
		}
	case limits.Sockets < minSockets:
		return &FieldError{
			Key:    socketsKey,
			Value:  limits.Sockets,
			Reason: fmt.Sprintf("is out of range; expected at least %d", minSockets),
		}
	}
	return nil
}

// checkRanges checks that every number in v, the value of key, is from 0 to maximum, and returns an
// error for the first number that is not. Fields of structs have their own maxima: see
// checkFieldRanges.
func checkRanges(key string, v reflect.Value, maximum float64) error {
	switch v.Kind() {
	case reflect.Struct:
		return checkFieldRanges(key, v)
	case reflect.Slice:
		for i := range v.Len() {
			if err := checkRanges(fmt.Sprintf("%s[%d]", key, i), v.Index(i), maximum); err != nil {
				return err
			}
		}
	case reflect.Int, reflect.Float64:
		if n := v.Convert(reflect.TypeFor[float64]()).Float(); n < 0 || n > maximum {
			return &FieldError{
				Key:    key,
				Value:  n,
				Reason: fmt.Sprintf("is out of range; expected from 0 to %g", maximum),
			}
		}
	}
	return nil
}

// checkFieldRanges checks that the numbers in the fields of a struct are from 0 to the field's tag
// `most`, or at least 0 if the field has no such tag.
func checkFieldRanges(key string, v reflect.Value) error {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		maximum := math.Inf(1)
		if tag, ok := field.Tag.Lookup("most"); ok {
			maximum, _ = strconv.ParseFloat(tag, 64) // the tags are constants
		}
		if err := checkRanges(key+"."+field.Tag.Get("json"), v.Field(i), maximum); err != nil {
			return err
		}
	}
	return nil
}

// checkSettings checks the enumerated and the required values of the settings, and the classes.
func checkSettings(settings *simulator.Settings, upstream string) error {
	deployment := &settings.Deployment
	err := errors.Join(
		checkChoice(downstreamKey, deployment.Downstream, downstreamKinds),
		checkChoice(preemptionKey, deployment.Preemption, preemptionKinds),
		checkChoice(backpressureKey, deployment.Backpressure, backpressureKinds),
	)
	if err != nil {
		return err
	}
	switch {
	case len(settings.Classes) == 0:
		return &FieldError{Key: classesKey, Reason: "is empty; expected at least one class"}
	case deployment.Cores < 1:
		return &FieldError{
			Key:    deploymentCoresKey,
			Value:  deployment.Cores,
			Reason: "is out of range; expected at least 1",
		}
	case deployment.MemoryLimitKb <= 0:
		return &FieldError{
			Key:    memoryLimitKey,
			Value:  deployment.MemoryLimitKb,
			Reason: "is out of range; expected more than 0",
		}
	case downstreamKinds[deployment.Downstream] != admission.NoDownstream && upstream == "":
		return &FieldError{
			Key:    upstreamKey,
			Reason: fmt.Sprintf("is missing, but required as %s is %q", downstreamKey, deployment.Downstream),
		}
	}
	for i := range settings.Classes {
		if err := checkClass(fmt.Sprintf("%s[%d].", classesKey, i), &settings.Classes[i]); err != nil {
			return err
		}
	}
	return nil
}

// checkChoice checks that the value of a key is one of the valid choices.
func checkChoice[T any](key, value string, choices map[string]T) error {
	if _, ok := choices[value]; !ok {
		return &FieldError{
			Key:    key,
			Value:  value,
			Reason: fmt.Sprintf("is unknown; expected one of %q", slices.Sorted(maps.Keys(choices))),
		}
	}
	return nil
}

// checkClass checks a class. prefix is the beginning of the class's keys in errors.
func checkClass(prefix string, class *simulator.Class) error {
	if err := checkChoice(prefix+"effect", class.Idempotency, idempotencyKinds); err != nil {
		return err
	}
	switch {
	case idempotencyKinds[class.Idempotency] == admission.Deduplicated && class.DeduplicationWindowMs <= 0:
		return &FieldError{
			Key:    prefix + "windowMs",
			Value:  class.DeduplicationWindowMs,
			Reason: fmt.Sprintf("is out of range; expected more than 0, as %seffect is %q", prefix, class.Idempotency),
		}
	case class.TimeoutMs <= 0:
		return &FieldError{
			Key:    prefix + "hardLimitMs",
			Value:  class.TimeoutMs,
			Reason: "is out of range; expected more than 0",
		}
	case class.SoftDeadlineMs <= 0:
		return &FieldError{
			Key:    prefix + "objectiveMs",
			Value:  class.SoftDeadlineMs,
			Reason: "is out of range; expected more than 0",
		}
	}
	return nil
}
