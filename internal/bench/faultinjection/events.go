package faultinjection

import (
	"slices"
	"strings"
	"time"

	"swiftcourse/internal/bench/process"
	"swiftcourse/internal/policy/release"
)

// Log events of the program that experiments look for.
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
	Name   string // of the process
	Time   time.Time
	Event  string
	Fields map[string]string
}

// recordedEvents are the log events that are kept, beside those with a prefix that isRecorded
// names.
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

// isRecorded reports whether a log event is kept for experiments.
func isRecorded(event string) bool {
	return strings.HasPrefix(event, "fleet") || strings.HasPrefix(event, "worker_") ||
		slices.Contains(recordedEvents, event)
}

// recordLine keeps a line of a process's log if experiments may look for it.
func (f *Fleet) recordLine(name, line string) {
	fields := process.ParseFields(line)
	event := fields["event"]
	if !isRecorded(event) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, LogEvent{Name: name, Time: time.Now(), Event: event, Fields: fields})
}

// Events returns the log events of a process with that event; "" for all processes, or all events.
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

// LastEvent returns the last log event of a process's present incarnation with that event, the zero
// LogEvent if there is none. What an earlier incarnation logged says nothing about what the present
// one knows.
func (f *Fleet) LastEvent(name, event string) LogEvent {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, logged := range slices.Backward(f.events[f.firstEvent[name]:]) {
		if logged.Name == name && logged.Event == event {
			return logged
		}
	}
	return LogEvent{}
}

// ActiveEpoch returns the epoch that a process last logged, since its start, to have applied; 0 if
// it logged none.
func (f *Fleet) ActiveEpoch(name string) release.Epoch {
	epoch, err := release.ParseEpoch(f.LastEvent(name, EventConfigApplied).Fields["epoch"])
	if err != nil {
		return 0
	}
	return epoch
}

// AllActiveOn reports whether the named processes act on an epoch or on a newer one.
func (f *Fleet) AllActiveOn(epoch release.Epoch, names ...string) bool {
	for _, name := range names {
		if f.ActiveEpoch(name) < epoch {
			return false
		}
	}
	return true
}

// ReplicasCaughtUp reports whether the named replicas last logged, since their start, that no slot
// is catching up.
func (f *Fleet) ReplicasCaughtUp(names ...string) bool {
	for _, name := range names {
		if f.LastEvent(name, EventReplicaStatusChanged).Fields["catching_up"] != "0" {
			return false
		}
	}
	return true
}

// ConflictingDigestEpochs returns the epochs for which processes logged more than one digest.
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
