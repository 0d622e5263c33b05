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
	// logDelay is how much later than it happened a log line may be read.
	logDelay = 200 * time.Millisecond
	// neverEjected is EjectedAfterMillis of a server that was not ejected.
	neverEjected = -1
)

// Values of the program's log events.
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
	status, err := r.fleet.Status(lastServer) // the audit as another server knows it
	if err != nil {
		return fmt.Errorf("status of %s: %w", lastServer, err)
	}
	r.row.ConflictingDigests = len(r.fleet.ConflictingDigestEpochs())
	r.row.ServedWhileEjected = r.countServedWhileEjected()
	r.row.AuditMismatches, r.row.AuditGaps = r.compareAudit(status)
	r.measureCatchUp()
	return r.measureEjection()
}

// waitHealed waits until all servers act on the newest version, and counts those that don't.
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

// measureEjection releases what the last server can't apply, and measures how long after that it is
// ejected.
func (r *experiment) measureEjection() error {
	last := r.serverNames[len(r.serverNames)-1]
	r.row.EjectedAfterMillis = neverEjected
	before := len(r.fleet.Events("", faultinjection.EventCommandFinished))
	if _, err := r.fleet.Release(r.serverNames[0], "door-prefix-ipv4 24\n"); err != nil { // the others' setting
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

// isAccepted reports whether a command of that kind finished without an error.
func isAccepted(finished faultinjection.LogEvent, kind release.Kind) bool {
	return finished.Fields["command"] == kind.String() && finished.Fields["rejected"] == noError
}

// incarnation is what one incarnation of a server logged.
type incarnation struct {
	id      uint64
	applied []faultinjection.LogEvent
}

// incarnations splits the applied configurations of a server by its incarnations, identified as in
// the audit.
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

// compareAudit counts where the audit differs from the logs: an interval that no log has, or one
// that is in a log but neither in the audit nor in one of its gaps. Intervals in gaps are counted
// apart.
func (r *experiment) compareAudit(status *fleet.Status) (mismatches, gaps int) {
	for _, name := range r.serverNames {
		list := incarnations(r.fleet, name)
		for i, one := range list {
			audited := auditedIntervals(status, name, one.id)
			// What an earlier incarnation did last may be known to nobody.
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

// intervalKey identifies an interval of an incarnation by what was active in it.
func intervalKey(epoch, digest string) string { return epoch + " " + digest }

// auditedIntervals returns the intervals that the audit has of an incarnation, but those before its
// first version.
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

// hasGap reports whether the audit says that it may lack intervals of an incarnation.
func hasGap(status *fleet.Status, name string, id uint64) bool {
	return slices.ContainsFunc(status.Audit.Gaps, func(gap audit.Gap) bool {
		return gap.Name == name && gap.Incarnation == id
	})
}

// countServedWhileEjected counts ejections of servers that had not logged by then that they are out
// of service.
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

// modeAt returns the serving mode that a server had logged by a time.
func (r *experiment) modeAt(name string, at time.Time) string {
	mode := modeNormal
	for _, changed := range r.fleet.Events(name, faultinjection.EventServingModeChanged) {
		if changed.Time.Before(at.Add(logDelay)) {
			mode = changed.Fields["mode"]
		}
	}
	return mode
}

// measureCatchUp measures how soon the servers that no fault delayed applied each release to all.
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

// firstAppliedAt returns when a server first logged that it applied an epoch or a newer one.
func (r *experiment) firstAppliedAt(name string, epoch release.Epoch) (at time.Time, ok bool) {
	for _, applied := range r.fleet.Events(name, faultinjection.EventConfigApplied) {
		if active, err := release.ParseEpoch(applied.Fields["epoch"]); err == nil && active >= epoch {
			return applied.Time, true
		}
	}
	return time.Time{}, false
}
