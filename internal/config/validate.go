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

// The ranges of the limits in the JSON file.
const (
	minStopMs   = 100
	maxStopMs   = 600_000
	maxCores    = 1024
	minMemoryMb = 24
	maxMemoryMb = 1 << 20
)

// checkAddresses checks that every dependency has an address. The last tier has no upstream, and a
// forwarder's workers have an executor and an upstream of their own.
func (f *file) checkAddresses(forwarder bool) error {
	addresses := []struct {
		key      string
		value    string
		optional bool // may be missing
		unused   bool
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

// check checks everything but the addresses and the seed, and returns the first fault.
func (f *file) check() error {
	if err := f.checkLimits(); err != nil {
		return err
	}
	if err := checkRanges(settingsKey, reflect.ValueOf(f.Settings).Elem(), math.Inf(1)); err != nil {
		return err
	}
	return checkSettings(f.Settings, f.Upstream)
}

func (f *file) checkLimits() error {
	limits := &f.Limits
	switch {
	case f.Name == "":
		return &FieldError{Key: nameKey, Reason: "missing"}
	case f.StopMs < minStopMs || f.StopMs > maxStopMs:
		return &FieldError{
			Key:    "stop_ms",
			Value:  f.StopMs,
			Reason: fmt.Sprintf("is not from %d to %d", minStopMs, maxStopMs),
		}
	case limits.Cores <= 0 || limits.Cores > maxCores:
		return &FieldError{
			Key:    "limits.cores",
			Value:  limits.Cores,
			Reason: fmt.Sprintf("is not over 0 and at most %d", maxCores),
		}
	case limits.MemoryMb < minMemoryMb || limits.MemoryMb > maxMemoryMb:
		return &FieldError{
			Key:    "limits.memory_mb",
			Value:  limits.MemoryMb,
			Reason: fmt.Sprintf("is not from %d to %d", minMemoryMb, maxMemoryMb),
		}
	case limits.Sockets < minSockets:
		return &FieldError{
			Key:    "limits.sockets",
			Value:  limits.Sockets,
			Reason: fmt.Sprintf("is under %d", minSockets),
		}
	}
	return nil
}

// checkRanges checks that every number of the settings is from 0 to most, or to what its own tag
// `most` says, and names the key of the first that is not.
func checkRanges(key string, v reflect.Value, most float64) error {
	switch v.Kind() {
	case reflect.Struct:
		return checkFieldRanges(key, v)
	case reflect.Slice:
		for i := range v.Len() {
			if err := checkRanges(fmt.Sprintf("%s[%d]", key, i), v.Index(i), most); err != nil {
				return err
			}
		}
	case reflect.Int, reflect.Float64:
		if n := v.Convert(reflect.TypeFor[float64]()).Float(); n < 0 || n > most {
			return &FieldError{Key: key, Value: n, Reason: fmt.Sprintf("is not from 0 to %g", most)}
		}
	}
	return nil
}

func checkFieldRanges(key string, v reflect.Value) error {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		most := math.Inf(1)
		if tag, ok := field.Tag.Lookup("most"); ok {
			most, _ = strconv.ParseFloat(tag, 64) // the tags are the program's own
		}
		if err := checkRanges(key+"."+field.Tag.Get("json"), v.Field(i), most); err != nil {
			return err
		}
	}
	return nil
}

// checkSettings checks what has to be there, the words that name a choice, and what the executor's
// protocol can't do.
func checkSettings(settings *simulator.Settings, upstream string) error {
	deployment := &settings.Deployment
	_, knownDownstream := downstreamKinds[deployment.Downstream]
	_, knownPreemption := preemptionKinds[deployment.Preemption]
	_, knownBackpressure := backpressureKinds[deployment.Backpressure]
	err := errors.Join(
		checkWord(settingsKey+".familyInfo.below", deployment.Downstream, knownDownstream),
		checkWord(preemptionKey, deployment.Preemption, knownPreemption),
		checkWord(settingsKey+".familyInfo.say", deployment.Backpressure, knownBackpressure),
	)
	if err != nil {
		return err
	}
	switch {
	case len(settings.Classes) == 0:
		return &FieldError{Key: classesKey, Reason: "empty"}
	case deployment.Cores < 1:
		return &FieldError{Key: settingsKey + ".familyInfo.cores", Reason: "under 1"}
	case deployment.MemoryLimitKb <= 0:
		return &FieldError{Key: settingsKey + ".familyInfo.memLimitKb", Reason: "not over 0"}
	case downstreamKinds[deployment.Downstream] != admission.NoDownstream && upstream == "":
		return &FieldError{
			Key:    upstreamKey,
			Reason: fmt.Sprintf("missing, though settings.familyInfo.below is %q", deployment.Downstream),
		}
	}
	for i := range settings.Classes {
		if err := checkClass(fmt.Sprintf("%s[%d].", classesKey, i), &settings.Classes[i]); err != nil {
			return err
		}
	}
	return nil
}

// checkWord returns an error unless the word under a key is one that is known.
func checkWord(key, word string, known bool) error {
	if known {
		return nil
	}
	return &FieldError{Key: key, Value: word, Reason: "is unknown"}
}

// checkClass checks one class, whose keys begin with prefix.
func checkClass(prefix string, class *simulator.Class) error {
	idempotency, known := idempotencyKinds[class.Idempotency]
	if err := checkWord(prefix+"effect", class.Idempotency, known); err != nil {
		return err
	}
	switch {
	case idempotency == admission.Deduplicated && class.DeduplicationWindowMs <= 0:
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
