package simulator

import (
	"encoding/json"
	"fmt"

	"github.com/valyala/fastjson"

	"swiftcourse/admission"
)

// The names of events.
const (
	eventBorn        = "BORN"
	eventCrash       = "CRASH_NOW"
	eventRequest     = "REQ"
	eventRunOver     = "RUN_OVER"
	eventCallEnded   = "CALL_ENDED"
	eventAtCall      = "AT_CALL"
	eventAbandoned   = "ABANDONED"
	eventDrain       = "DRAIN"
	eventDeadlineHit = "DEADLINE_HIT"
)

// Where the elements of an event stand. What is at 2 and after depends on the event.
const (
	atName      = 0
	atInstance  = 1
	atRequestID = 2
	atSeed      = 2 // of eventBorn
	atSettings  = 3 // of eventBorn
	atOutcome   = 3 // of eventRunOver and eventCallEnded
	atDuration  = 4 // of eventRunOver and eventCallEnded, ms
	atGrace     = 2 // of eventDrain, ms
	atLabel     = 2 // of eventDeadlineHit
	atGauges    = 3 // of eventDeadlineHit
)

// Where the elements of eventRequest stand.
const (
	atFlags           = 3
	atMemory          = 4
	atAge             = 5 // ms
	atExpectedWork    = 6 // ms
	atClass           = 7
	atSubject         = 8
	atClient          = 9
	atRemainingBudget = 10 // ms
	atPriority        = 11
	atTenant          = 12
	atDuplicateOf     = 13
)

// The bits of the flags of eventRequest.
const (
	flagHasExpectedWork = 1 << iota
	flagRetry
	flagWrite
)

// The names of gauges in the settings.
const (
	gaugeUtilization = "cpu_busy"
	gaugeRunnable    = "runnable"
	gaugeMemory      = "mem_used"
	gaugeConnections = "sockets"
)

// unknownGauge is the value of a gauge that isn't told.
const unknownGauge = -1

// outcomes are the outcomes of runs and calls by their words.
var outcomes = map[string]admission.Outcome{
	"ok":             admission.Finished,
	"error":          admission.Failed,
	"full":           admission.Rejected,
	"timeout":        admission.TimedOut,
	"connect_failed": admission.Unreachable,
	"reset":          admission.Disconnected,
	"cancelled":      admission.Cancelled,
	"moot":           admission.NeverStarted,
}

// readEvent appends one entry to the batch. Events of names not known here are passed over.
func (r *Reader) readEvent(elements []*fastjson.Value) error {
	name := text(elements, atName)
	instance := text(elements, atInstance)
	if name == "" || instance == "" {
		return errEventHead
	}
	entry := Event{Instance: instance, Event: admission.Event{RequestID: text(elements, atRequestID)}}
	event := &entry.Event
	switch name {
	case eventBorn:
		if err := r.readStart(&entry, elements); err != nil {
			return err
		}
	case eventCrash:
		entry.Change = ChangeCrashed
	case eventRequest:
		event.Kind = admission.Arrived
		event.Request = readRequest(elements)
	case eventRunOver:
		event.Kind = admission.RunEnded
		readOutcome(event, elements)
	case eventCallEnded:
		event.Kind = admission.CallReturned
		readOutcome(event, elements)
	case eventAtCall:
		event.Kind = admission.AwaitingDownstream
	case eventAbandoned:
		event.Kind = admission.ClientGone
	case eventDrain:
		event.Kind = admission.DrainStarted
		event.RequestID = ""
		event.Duration = seconds(elements, atGrace)
	case eventDeadlineHit:
		event.Kind = admission.TimerFired
		event.RequestID = ""
		event.Label = text(elements, atLabel)
		event.Gauges = readGauges(r.gauges[instance], elements)
	default:
		return nil
	}
	r.batch.Events = append(r.batch.Events, entry)
	return nil
}

// readStart reads the seed and settings of a new instance.
func (r *Reader) readStart(entry *Event, elements []*fastjson.Value) error {
	if len(elements) <= atSettings {
		return errSettingsLack
	}
	entry.Change = ChangeStarted
	entry.Seed = elements[atSeed].GetInt64()
	entry.Settings = new(Settings)
	if err := json.Unmarshal(elements[atSettings].MarshalTo(nil), entry.Settings); err != nil {
		return fmt.Errorf("BORN settings: %w", err)
	}
	r.gauges[entry.Instance] = entry.Settings.Deployment.Gauges
	return nil
}

// readRequest reads the request of an arrival.
func readRequest(elements []*fastjson.Value) admission.Request {
	flags := int(number(elements, atFlags))
	request := admission.Request{
		Memory:          number(elements, atMemory),
		Age:             seconds(elements, atAge),
		ExpectedWork:    seconds(elements, atExpectedWork),
		Class:           int(number(elements, atClass)),
		HasSubject:      text(elements, atSubject) != "",
		Client:          int(number(elements, atClient)),
		RemainingBudget: seconds(elements, atRemainingBudget),
		Priority:        number(elements, atPriority),
		Tenant:          int(number(elements, atTenant)),
		DuplicateOf:     text(elements, atDuplicateOf),
		Retry:           flags&flagRetry != 0,
		Write:           flags&flagWrite != 0,
	}
	if flags&flagHasExpectedWork == 0 {
		request.ExpectedWork = 0
	}
	return request
}

// readOutcome reads how a run or call ended. A word not known yet proves nothing, as a failure does.
func readOutcome(event *admission.Event, elements []*fastjson.Value) {
	outcome, known := outcomes[text(elements, atOutcome)]
	if !known {
		outcome = admission.Failed
	}
	event.Outcome = outcome
	event.Duration = seconds(elements, atDuration)
}

// readGauges reads the gauges that an instance was told to expect, in this order.
func readGauges(names []string, elements []*fastjson.Value) admission.Gauges {
	gauges := admission.Gauges{
		Utilization: unknownGauge,
		Runnable:    unknownGauge,
		Memory:      unknownGauge,
		Connections: unknownGauge,
	}
	if len(elements) <= atGauges || elements[atGauges].Type() != fastjson.TypeArray {
		return gauges
	}
	row := elements[atGauges].GetArray()
	for i, name := range names {
		if i < len(row) && row[i].Type() == fastjson.TypeNumber {
			SetGauge(&gauges, name, number(row, i))
		}
	}
	return gauges
}

// SetGauge sets the gauge that the settings call name. One not known here is passed over.
func SetGauge(gauges *admission.Gauges, name string, value float64) {
	switch name {
	case gaugeUtilization:
		gauges.Utilization = value
	case gaugeRunnable:
		gauges.Runnable = value
	case gaugeMemory:
		gauges.Memory = value
	case gaugeConnections:
		gauges.Connections = value
	}
}

// text returns the string at index, or "" for what is absent, null or of another type.
func text(elements []*fastjson.Value, index int) string {
	if index >= len(elements) {
		return ""
	}
	return string(elements[index].GetStringBytes())
}

// number returns the number at index, or 0 for what is absent, null or of another type.
func number(elements []*fastjson.Value, index int) float64 {
	if index >= len(elements) {
		return 0
	}
	return elements[index].GetFloat64()
}

// seconds returns the number of milliseconds at index in seconds.
func seconds(elements []*fastjson.Value, index int) float64 {
	return number(elements, index) / millisecondsPerSecond
}
