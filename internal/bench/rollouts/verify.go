package rollouts

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"swiftcourse/internal/bench/faultinjection"
	"swiftcourse/internal/bench/report"
	"swiftcourse/internal/fleet"
	"swiftcourse/internal/policy/audit"
	"swiftcourse/internal/policy/release"
)

const (
	// maxLogDelay is the maximum time between an event and the reading of its log line.
	maxLogDelay = 200 * time.Millisecond
	// neverEjected is the value of EjectedAfterMillis if the server was not ejected.
	neverEjected = -1
)

// Values of fields in the program's log events.
const (
	noError          = "<nil>"
	modeNormal       = "normal"
	modeOutOfService = "out_of_service"
)

// verify waits until the fleet has healed, and compares its audit with the log events.
func (r *experiment) verify() error {
	r.releasing.Wait()
	if err := r.waitHealed(); err != nil {
		return err
	}
	lastServer := r.serverNames[len(r.serverNames)-1]
	status, err := r.fleet.Status(lastServer) // not from the server that waitHealed asks
	if err != nil {
		return fmt.Errorf("status of %s: %w", lastServer, err)
	}
	r.row.ConflictingDigests = len(r.fleet.ConflictingDigestEpochs())
	r.row.ServedWhileEjected = r.countServedWhileEjected()
	r.row.AuditMismatches, r.row.AuditGaps = r.compareAuditWithLogs(status)
	r.measureCatchUp()
	return r.measureEjection()
}

// waitHealed waits until all servers have applied the newest version, and counts those that have
// not.
func (r *experiment) waitHealed() error {
	var status *fleet.Status
	var err error
	isHealed := func() bool {
		if status, err = r.fleet.Status(r.serverNames[0]); err != nil {
			return false
		}
		log := status.ReleaseLog
		return log.Next == nil && len(status.Servers) >= len(r.serverNames) &&
			r.fleet.AllActiveOn(log.Current.Epoch, r.serverNames...)
	}
	healed := faultinjection.WaitUntil(healTimeout, isHealed)
	if err != nil {
		return fmt.Errorf("status of %s: %w", r.serverNames[0], err)
	}
	if healed {
		return nil
	}
	for _, name := range r.serverNames {
		if r.fleet.ActiveEpoch(name) < status.ReleaseLog.NewestEpoch() {
			r.row.Unhealed++
		}
	}
	r.row.Unhealed = max(1, r.row.Unhealed)
	return nil
}

// measureEjection releases a setting that the last server can't apply, and measures the time from
// the release to the server's ejection.
func (r *experiment) measureEjection() error {
	last := r.serverNames[len(r.serverNames)-1]
	r.row.EjectedAfterMillis = neverEjected
	before := len(r.fleet.Events("", faultinjection.EventCommandFinished))
	// The other servers already have this value.
	if _, err := r.fleet.Release(r.serverNames[0], "door-prefix-ipv4 24\n"); err != nil {
		return err
	}
	from := time.Now()
	faultinjection.WaitUntil(healTimeout, func() bool {
		for _, finished := range r.fleet.Events("", faultinjection.EventCommandFinished)[before:] {
			if isAccepted(finished, release.KindEject) && finished.Fields["name"] == last {
				r.row.EjectedAfterMillis = 1000 * finished.Time.Sub(from).Seconds()
				return true
			}
		}
		return false
	})
	return nil
}

// isAccepted reports whether the log event is of a command of that kind that was not rejected.
func isAccepted(finished faultinjection.LogEvent, kind release.Kind) bool {
	return finished.Fields["command"] == kind.String() && finished.Fields["rejected"] == noError
}

// incarnation is an incarnation of a server with the configurations that it logged to have applied.
type incarnation struct {
	id      uint64
	applied []faultinjection.LogEvent
}

// incarnations returns the incarnations of a server in order, with their IDs as in the audit.
func incarnations(f *faultinjection.Fleet, name string) (list []incarnation) {
	for _, event := range f.Events(name, "") {
		switch event.Event {
		case faultinjection.EventFleetStarted:
			if id, err := strconv.ParseUint(event.Fields["incarnation"], 16, 64); err == nil {
				list = append(list, incarnation{id: id})
			}
		case faultinjection.EventConfigApplied:
			if count := len(list); count > 0 {
				list[count-1].applied = append(list[count-1].applied, event)
			}
		}
	}
	return list
}

// compareAuditWithLogs counts the differences between the audit and the logs: intervals in the
// audit that were not logged, and logged intervals that are missing from the audit. Missing
// intervals for which the audit reports a gap are counted as gaps instead.
func (r *experiment) compareAuditWithLogs(status *fleet.Status) (mismatches, gaps int) {
	for _, name := range r.serverNames {
		list := incarnations(r.fleet, name)
		for i, one := range list {
			audited := auditedIntervals(status, name, one.id)
			// An earlier incarnation may have ended before it reported its last intervals.
			mayLack := hasGap(status, name, one.id) || i < len(list)-1
			for _, applied := range one.applied {
				key := intervalKey(applied.Fields["epoch"], applied.Fields["digest"])
				switch {
				case audited[key]:
					delete(audited, key)
				case mayLack:
					gaps++
				default:
					mismatches++
				}
			}
			mismatches += len(audited)
		}
	}
	return mismatches, gaps
}

// intervalKey identifies an interval of an incarnation by the active epoch and digest.
func intervalKey(epoch, digest string) string { return epoch + " " + digest }

// auditedIntervals returns the keys of the intervals that the audit has of an incarnation, without
// the interval before its first version.
func auditedIntervals(status *fleet.Status, name string, id uint64) map[string]bool {
	intervals := map[string]bool{}
	for _, account := range status.Audit.Accounts {
		if account.Name != name || account.Incarnation != id {
			continue
		}
		for _, interval := range account.Intervals {
			if interval.Epoch != 0 {
				intervals[intervalKey(interval.Epoch.String(), interval.Digest)] = true
			}
		}
	}
	return intervals
}

// hasGap reports whether the audit has a gap for an incarnation.
func hasGap(status *fleet.Status, name string, id uint64) bool {
	return slices.ContainsFunc(status.Audit.Gaps, func(gap audit.Gap) bool {
		return gap.Name == name && gap.Incarnation == id
	})
}

// countServedWhileEjected counts the ejections of servers that had not logged the out-of-service
// mode by then.
func (r *experiment) countServedWhileEjected() (count int) {
	ejectedAt := map[string]time.Time{}
	for _, finished := range r.fleet.Events("", faultinjection.EventCommandFinished) {
		name := finished.Fields["name"]
		if isAccepted(finished, release.KindReadmit) {
			delete(ejectedAt, name)
		}
		if _, known := ejectedAt[name]; !known && isAccepted(finished, release.KindEject) {
			ejectedAt[name] = finished.Time
		}
		isEject := finished.Fields["command"] == release.KindEject.String()
		if at, isEjected := ejectedAt[name]; isEjected && isEject && r.modeAt(name, at) != modeOutOfService {
			count++
		}
	}
	return count
}

// modeAt returns the serving mode that a server had last logged by a time, with maxLogDelay allowed
// for.
func (r *experiment) modeAt(name string, at time.Time) string {
	mode := modeNormal
	for _, changed := range r.fleet.Events(name, faultinjection.EventServingModeChanged) {
		if changed.Time.Before(at.Add(maxLogDelay)) {
			mode = changed.Fields["mode"]
		}
	}
	return mode
}

// measureCatchUp measures how long undisturbed servers took to apply each release without waves.
func (r *experiment) measureCatchUp() {
	r.mu.Lock()
	defer r.mu.Unlock()
	var samples []float64
	for epoch, releasedAt := range r.released {
		for _, name := range r.serverNames {
			isDisturbed := func(disturbance period) bool { return disturbance.contains(releasedAt) }
			if slices.ContainsFunc(r.disturbed[name], isDisturbed) {
				continue
			}
			if appliedAt, ok := r.firstAppliedAt(name, epoch); ok {
				samples = append(samples, max(0, 1000*appliedAt.Sub(releasedAt).Seconds()))
			}
		}
	}
	r.row.CatchUps = len(samples)
	r.row.CatchUpLatency = report.NewCatchUpLatency(samples)
}

// firstAppliedAt returns when a server first logged that it applied the epoch or a newer one.
func (r *experiment) firstAppliedAt(name string, epoch release.Epoch) (at time.Time, ok bool) {
	for _, applied := range r.fleet.Events(name, faultinjection.EventConfigApplied) {
		if active, err := release.ParseEpoch(applied.Fields["epoch"]); err == nil && active >= epoch {
			return applied.Time, true
		}
	}
	return time.Time{}, false
}
