package faultinjection

import (
	"slices"
	"strings"
	"time"

	"swiftcourse/internal/bench/process"
	"swiftcourse/internal/policy/release"
)

// Log events of the program that tests and experiments look for.
const (
	EventFleetStarted          = "fleet_started"
	EventConfigApplied         = "config_applied"
	EventCommandFinished       = "command_finished"
	EventServingModeChanged    = "serving_mode_changed"
	EventReplicaStatusChanged  = "replica_status_changed"
	EventLeaseStateChanged     = "lease_state_changed"
	EventCircuitBreakerChanged = "circuit_breaker_changed"
	EventLoadPlannerStarted    = "load_planner_started"
	EventLoadPlannerChanged    = "load_planner_changed"
	EventTrustedClients        = "fleet_trusted_clients"
	EventFleetAgentPanic       = "fleet_agent_panic"
	EventForwarderPanic        = "forwarder_panic"
	EventLeaderElected         = "leader_elected"
	EventMessageRejected       = "fleet_message_rejected"
	EventProtocolError         = "protocol_error"
	EventConfigApplyFailed     = "config_apply_failed"
	EventPanic                 = "panic"
)

// LogEvent is a line of a process's log, with the time at which it was read.
type LogEvent struct {
	Name   string // name of the process
	Time   time.Time
	Event  string
	Fields map[string]string
}

// recordedEvents are the log events that are recorded in addition to those with the prefixes in
// isRecorded.
var recordedEvents = []string{
	EventConfigApplied,
	EventCommandFinished,
	EventServingModeChanged,
	EventReplicaStatusChanged,
	EventLeaseStateChanged,
	EventCircuitBreakerChanged,
	EventLoadPlannerStarted,
	EventLoadPlannerChanged,
	"forwarder_stats",
	EventForwarderPanic,
	EventLeaderElected,
	EventProtocolError,
	EventConfigApplyFailed,
	EventPanic,
}

// isRecorded reports whether log events with this name are recorded.
func isRecorded(event string) bool {
	return strings.HasPrefix(event, "fleet") || strings.HasPrefix(event, "worker_") ||
		slices.Contains(recordedEvents, event)
}

// recordLine records the event of a process's log line if isRecorded selects it.
func (f *Fleet) recordLine(name, line string) {
	fields := process.ParseLogFields(line)
	event := fields["event"]
	if !isRecorded(event) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, LogEvent{Name: name, Time: time.Now(), Event: event, Fields: fields})
}

// Events returns the recorded log events of a process with the given event name. An empty name
// selects all processes, an empty event all events.
func (f *Fleet) Events(name, event string) (list []LogEvent) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, logged := range f.events {
		if (name == "" || logged.Name == name) && (event == "" || logged.Event == event) {
			list = append(list, logged)
		}
	}
	return list
}

// LastEvent returns the latest log event with the given event name that the present incarnation of
// a process logged, or the zero LogEvent. Events of earlier incarnations are ignored, since they
// say nothing about the present incarnation's state.
func (f *Fleet) LastEvent(name, event string) LogEvent {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, logged := range slices.Backward(f.events[f.firstEventIndex[name]:]) {
		if logged.Name == name && logged.Event == event {
			return logged
		}
	}
	return LogEvent{}
}

// ActiveEpoch returns the latest epoch that the present incarnation of a process logged to have
// applied, or 0.
func (f *Fleet) ActiveEpoch(name string) release.Epoch {
	epoch, err := release.ParseEpoch(f.LastEvent(name, EventConfigApplied).Fields["epoch"])
	if err != nil {
		return 0
	}
	return epoch
}

// AllActiveOn reports whether all named processes have applied the epoch or a newer one.
func (f *Fleet) AllActiveOn(epoch release.Epoch, names ...string) bool {
	for _, name := range names {
		if f.ActiveEpoch(name) < epoch {
			return false
		}
	}
	return true
}

// ReplicasCaughtUp reports whether the present incarnation of each named replica last logged that
// no slot is catching up.
func (f *Fleet) ReplicasCaughtUp(names ...string) bool {
	for _, name := range names {
		if f.LastEvent(name, EventReplicaStatusChanged).Fields["catching_up"] != "0" {
			return false
		}
	}
	return true
}

// ConflictingDigestEpochs returns the epochs that were logged with more than one digest.
func (f *Fleet) ConflictingDigestEpochs() (epochs []string) {
	digests := map[string]string{}
	for _, applied := range f.Events("", EventConfigApplied) {
		epoch := applied.Fields["epoch"]
		digest := applied.Fields["digest"]
		if previous, seen := digests[epoch]; seen && previous != digest {
			epochs = append(epochs, epoch)
		}
		digests[epoch] = digest
	}
	return epochs
}
