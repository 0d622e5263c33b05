package config

import (
	"errors"
	"fmt"
	"math"
	"net"
	"reflect"
	"strconv"

	"swiftcourse/admission"
	"swiftcourse/internal/wire/simulator"
)

// The ranges of the JSON file's own numbers.
const (
	minStopMs   = 100
	maxStopMs   = 600_000
	maxCores    = 1024
	minMemoryMb = 24
	maxMemoryMb = 1 << 20
)

// validateAddresses checks that every dependency has an address. The last tier has no upstream, and a
// forwarder's workers have an executor and an upstream of their own.
func (f *jsonFile) validateAddresses(forwarder bool) error {
	addresses := []struct {
		key      string
		value    string
		optional bool // may be missing
		unused   bool // is not checked
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
			return &FieldError{Key: address.key, Value: address.value, Reason: "is not an address"}
		}
	}
	return nil
}

// validate checks everything but the addresses and the seed, and returns the first fault.
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
		return &FieldError{Key: nameKey, Reason: "missing"}
	case f.StopMs < minStopMs || f.StopMs > maxStopMs:
		return &FieldError{
			Key:    stopKey,
			Value:  f.StopMs,
			Reason: fmt.Sprintf("is not from %d to %d", minStopMs, maxStopMs),
		}
	case limits.Cores <= 0 || limits.Cores > maxCores:
		return &FieldError{
			Key:    coresKey,
			Value:  limits.Cores,
			Reason: fmt.Sprintf("is not over 0 and at most %d", maxCores),
		}
	case limits.MemoryMb < minMemoryMb || limits.MemoryMb > maxMemoryMb:
		return &FieldError{
			Key:    memoryKey,
			Value:  limits.MemoryMb,
			Reason: fmt.Sprintf("is not from %d to %d", minMemoryMb, maxMemoryMb),
		}
	case limits.Sockets < minSockets:
		return &FieldError{
			Key:    socketsKey,
			Value:  limits.Sockets,
			Reason: fmt.Sprintf("is under %d", minSockets),
		}
	}
	return nil
}

// checkRanges checks that every number in v, the value of key, is from 0 to maximum. The fields of a
// struct have a maximum of their own. It returns an error for the first number that is not.
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
			return &FieldError{Key: key, Value: n, Reason: fmt.Sprintf("is not from 0 to %g", maximum)}
		}
	}
	return nil
}

// checkFieldRanges checks the ranges of the fields of a struct, each from 0 to its tag `most`, or
// without an upper bound.
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

// checkSettings checks the choices, the values that are required, and the classes.
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
		return &FieldError{Key: classesKey, Reason: "empty"}
	case deployment.Cores < 1:
		return &FieldError{Key: deploymentCoresKey, Reason: "under 1"}
	case deployment.MemoryLimitKb <= 0:
		return &FieldError{Key: memoryLimitKey, Reason: "not over 0"}
	case downstreamKinds[deployment.Downstream] != admission.NoDownstream && upstream == "":
		return &FieldError{
			Key:    upstreamKey,
			Reason: fmt.Sprintf("missing, though %s is %q", downstreamKey, deployment.Downstream),
		}
	}
	for i := range settings.Classes {
		if err := checkClass(fmt.Sprintf("%s[%d].", classesKey, i), &settings.Classes[i]); err != nil {
			return err
		}
	}
	return nil
}

// checkChoice checks that the value of a key is one of its choices.
func checkChoice[T any](key, value string, choices map[string]T) error {
	if _, ok := choices[value]; !ok {
		return &FieldError{Key: key, Value: value, Reason: "is unknown"}
	}
	return nil
}

// checkClass checks one class. Its keys begin with prefix, as in errors.
func checkClass(prefix string, class *simulator.Class) error {
	if err := checkChoice(prefix+"effect", class.Idempotency, idempotencyKinds); err != nil {
		return err
	}
	switch {
	case idempotencyKinds[class.Idempotency] == admission.Deduplicated && class.DeduplicationWindowMs <= 0:
		return &FieldError{
			Key:    prefix + "windowMs",
			Reason: fmt.Sprintf("not over 0, though %seffect is %q", prefix, class.Idempotency),
		}
	case class.TimeoutMs <= 0:
		return &FieldError{Key: prefix + "hardLimitMs", Value: class.TimeoutMs, Reason: "is not over 0"}
	case class.SoftDeadlineMs <= 0:
		return &FieldError{Key: prefix + "objectiveMs", Value: class.SoftDeadlineMs, Reason: "is not over 0"}
	}
	return nil
}
