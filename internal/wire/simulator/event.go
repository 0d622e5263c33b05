package simulator

import (
	"encoding/json"
	"fmt"

	"github.com/valyala/fastjson"

	"swiftcourse/admission"
	"swiftcourse/internal/wire"
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

// The indexes of the elements of an event. Elements from index 2 on depend on the event.
const (
	indexName      = 0
	indexInstance  = 1
	indexRequestID = 2
	indexSeed      = 2 // of eventBorn
	indexSettings  = 3 // of eventBorn
	indexOutcome   = 3 // of eventRunOver and eventCallEnded
	indexDuration  = 4 // of eventRunOver and eventCallEnded, ms
	indexGrace     = 2 // of eventDrain, ms
	indexLabel     = 2 // of eventDeadlineHit
	indexGauges    = 3 // of eventDeadlineHit
)

// The indexes of the elements of eventRequest.
const (
	indexFlags           = 3
	indexMemory          = 4
	indexAge             = 5 // ms
	indexExpectedWork    = 6 // ms
	indexClass           = 7
	indexSubject         = 8
	indexClient          = 9
	indexRemainingBudget = 10 // ms
	indexPriority        = 11
	indexTenant          = 12
	indexDuplicateOf     = 13
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

// unknownGauge is the value of a gauge that is not reported.
const unknownGauge = -1

// outcomes holds the outcomes of runs and calls by their names on the wire.
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

// readEvent parses one event and appends it to the batch. Events with unknown names are ignored.
func (r *Reader) readEvent(elements []*fastjson.Value) error {
	name := text(elements, indexName)
	instance := text(elements, indexInstance)
	if name == "" || instance == "" {
		return errEventHead
	}
	entry := Event{Instance: instance, Event: admission.Event{RequestID: text(elements, indexRequestID)}}
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
		event.Duration = seconds(elements, indexGrace)
	case eventDeadlineHit:
		event.Kind = admission.TimerFired
		event.RequestID = ""
		event.Label = text(elements, indexLabel)
		event.Gauges = readGauges(r.gauges[instance], elements)
	default:
		return nil
	}
	r.batch.Events = append(r.batch.Events, entry)
	return nil
}

// readStart parses the seed and settings of a new instance.
func (r *Reader) readStart(entry *Event, elements []*fastjson.Value) error {
	if len(elements) <= indexSettings {
		return errMissingSettings
	}
	entry.Change = ChangeStarted
	entry.Seed = elements[indexSeed].GetInt64()
	entry.Settings = new(Settings)
	if err := json.Unmarshal(elements[indexSettings].MarshalTo(nil), entry.Settings); err != nil {
		return fmt.Errorf("settings of event BORN: %w", err)
	}
	r.gauges[entry.Instance] = entry.Settings.Deployment.Gauges
	return nil
}

// readRequest parses the request of an arrival.
func readRequest(elements []*fastjson.Value) admission.Request {
	flags := int(number(elements, indexFlags))
	request := admission.Request{
		Memory:          number(elements, indexMemory),
		Age:             seconds(elements, indexAge),
		ExpectedWork:    seconds(elements, indexExpectedWork),
		Class:           int(number(elements, indexClass)),
		HasSubject:      text(elements, indexSubject) != "",
		Client:          int(number(elements, indexClient)),
		RemainingBudget: seconds(elements, indexRemainingBudget),
		Priority:        number(elements, indexPriority),
		Tenant:          int(number(elements, indexTenant)),
		DuplicateOf:     text(elements, indexDuplicateOf),
		Retry:           flags&flagRetry != 0,
		Write:           flags&flagWrite != 0,
	}
	if flags&flagHasExpectedWork == 0 {
		request.ExpectedWork = 0
	}
	return request
}

// readOutcome parses the outcome and duration of a run or call. An unknown outcome becomes
// admission.Failed: like a failure, it proves nothing about what the run or call did.
func readOutcome(event *admission.Event, elements []*fastjson.Value) {
	outcome, known := outcomes[text(elements, indexOutcome)]
	if !known {
		outcome = admission.Failed
	}
	event.Outcome = outcome
	event.Duration = seconds(elements, indexDuration)
}

// readGauges parses the gauges of an event, which are in the order of names. Gauges that the event
// lacks are unknownGauge.
func readGauges(names []string, elements []*fastjson.Value) admission.Gauges {
	gauges := admission.Gauges{
		Utilization: unknownGauge,
		Runnable:    unknownGauge,
		Memory:      unknownGauge,
		Connections: unknownGauge,
	}
	if len(elements) <= indexGauges || elements[indexGauges].Type() != fastjson.TypeArray {
		return gauges
	}
	values := elements[indexGauges].GetArray()
	for i, name := range names {
		if i < len(values) && values[i].Type() == fastjson.TypeNumber {
			SetGauge(&gauges, name, number(values, i))
		}
	}
	return gauges
}

// SetGauge sets the gauge with this name in the settings. An unknown name is ignored.
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

// text returns the string at index, or "" if it is absent, null or of another type.
func text(elements []*fastjson.Value, index int) string {
	if index >= len(elements) {
		return ""
	}
	return string(elements[index].GetStringBytes())
}

// number returns the number at index, or 0 if it is absent, null or of another type.
func number(elements []*fastjson.Value, index int) float64 {
	if index >= len(elements) {
		return 0
	}
	return elements[index].GetFloat64()
}

// seconds returns the duration at index, converted from milliseconds to seconds.
func seconds(elements []*fastjson.Value, index int) float64 {
	return number(elements, index) / wire.MillisecondsPerSecond
}
