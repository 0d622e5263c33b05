// Package rollouts is an experiment on a fleet's versions: processes of the real program under load, releases and faults drawn from a seed, and the
// audit's account held against a ledger that this process keeps by what each server says as it does it.
package rollouts

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"swiftcourse/internal/bench/faultinjection"
	"swiftcourse/internal/bench/loadgen"
	"swiftcourse/internal/bench/report"
	"swiftcourse/internal/fleet"
	"swiftcourse/internal/policy/audit"
	"swiftcourse/internal/policy/release"
)

// Plan is one run.
type Plan struct {
	Program     string
	Servers     int
	Seconds     float64
	Seed        uint64
	NoFaults    bool    // no faults
	RequestRate float64 // tasks a second and server
	Log         io.Writer
}

// Validate tells what is wrong with a plan.
func (p *Plan) Validate() error {
	if p.Servers < 1 || p.Servers > 30 || p.Seconds < 2 || p.Seconds > 600 || p.RequestRate <= 0 || p.RequestRate > 150 {
		return fmt.Errorf("--servers %d --seconds %g --rate %g: from 1 to 30, from 2 to 600, and over 0 to 150", p.Servers, p.Seconds, p.RequestRate)
	}
	return nil
}

// Row is what a run came to.
type Row struct {
	report.RolloutCounts
	AuditMismatches int `json:"audit_disagrees"` // intervals that only the audit or only the servers' logs have
	AuditGaps       int `json:"audit_holes"`     // intervals that the audit says it may lack
	Unhealed        int `json:"unhealed"`        // servers not on the newest version at the end
	report.CatchUpLatency
	CatchUps             int     `json:"catch_ups"`         // samples of the latency
	EjectedAfterMillis   float64 `json:"shut_out_after_ms"` // of a server that can't apply a release, since it was accepted; -1 for never
	FinishedShare        float64 `json:"service"`           // of the requests that were due
	FinishedShareAlone   float64 `json:"service_alone"`     // the same seed with the fleet disabled
	GossipBytesPerSecond float64 `json:"talk_bytes_s"`      // sent by a server
	CPU                  float64 `json:"cpu_share"`         // of a core, for a server
	CPUAlone             float64 `json:"cpu_share_alone"`
}

// Violations counts what breaks an invariant.
func (r Row) Violations() int {
	return r.ConflictingDigests + r.ServedWhileEjected + r.AuditMismatches + r.Unhealed
}

// Columns and Cells are those of the table.
var Columns = []string{"seed", "servers", "releases", "faults", "two digests", "acted out", "disagrees", "holes", "unhealed", "p50 ms", "p99 ms", "max ms", "out ms",
	"service", "alone", "talk B/s", "cpu", "alone"}

// Cells are a row's in the table.
func (r Row) Cells() []string {
	return strings.Fields(fmt.Sprintf("%d %d %d %d %d %d %d %d %d %.0f %.0f %.0f %.0f %.4f %.4f %.0f %.4f %.4f", r.Seed, r.Servers, r.Releases, r.Faults,
		r.ConflictingDigests, r.ServedWhileEjected, r.AuditMismatches, r.AuditGaps, r.Unhealed, r.CatchUpP50, r.CatchUpP99, r.CatchUpMax, r.EjectedAfterMillis, r.FinishedShare, r.FinishedShareAlone,
		r.GossipBytesPerSecond, r.CPU, r.CPUAlone))
}

// shortLeases are short, so that a run of seconds sees leases end.
const shortLeases = "door on\nfleet-lease 2s\nfleet-behind 2s\nfleet-wave 500ms\n"

// healTimeout is how long a fleet has to agree after the last fault: ten leases.
const healTimeout = 20 * time.Second

// Run plays a seed, with the fleet's parts and without.
func Run(ctx context.Context, p *Plan) (Row, error) {
	row, err := p.play(ctx, true)
	if err != nil {
		return row, fmt.Errorf("seed %d: %w", p.Seed, err)
	}
	alone, err := p.play(ctx, false)
	row.FinishedShareAlone, row.CPUAlone = alone.FinishedShare, alone.CPU
	return row, err
}

// experiment is one of a plan's two.
type experiment struct {
	*Plan
	fleet       *faultinjection.Fleet
	random      *rand.Rand
	serverNames []string
	mu          sync.Mutex
	disturbed   map[string][][2]time.Time // when a server may be hindered by what was done to it
	released    map[release.Epoch]time.Time
	row         Row
	pendingUndo []func()
	releasing   sync.WaitGroup
}

func (p *Plan) play(ctx context.Context, talk bool) (Row, error) {
	r := &experiment{Plan: p, random: rand.New(rand.NewPCG(p.Seed, 11)), disturbed: map[string][][2]time.Time{}, released: map[release.Epoch]time.Time{},
		row: Row{RolloutCounts: report.RolloutCounts{Seed: p.Seed, Servers: p.Servers}}}
	shape := faultinjection.SmallShape(p.Program)
	shape.Log = p.Log
	f, err := faultinjection.Start(ctx, faultinjection.Config{Shape: shape, Servers: p.Servers, Voters: min(p.Servers, 3+2*(p.Servers/15)), ExtraSettings: shortLeases,
		ExtraSettingsByName: map[string]string{fmt.Sprint("n", p.Servers): "door-prefix-ipv4 16"}, Seed: p.Seed, FleetDisabled: !talk})
	if err != nil {
		return r.row, err
	}
	defer f.Close()
	r.fleet, r.serverNames = f, f.Names
	if talk && !faultinjection.WaitUntil(healTimeout, func() bool { return f.AllActiveOn(1, f.Names...) }) {
		return r.row, fmt.Errorf("no first version within %s", healTimeout)
	}
	var addrs []string
	for _, s := range f.Servers {
		addrs = append(addrs, s.Addr)
	}
	usedBefore, sentBefore := r.processorSeconds(), r.fleet.BytesSent()
	from := time.Now()
	l, err := loadgen.Start(ctx, loadgen.Config{Addresses: addrs, ConnsPerServer: 2, Rate: p.RequestRate * float64(p.Servers), Class: faultinjection.PingClass, Timeout: 1500 * time.Millisecond, Seed: p.Seed})
	if err != nil {
		return r.row, err
	}
	r.injectFaults(ctx, talk)
	took := l.Stop()
	stretch := time.Since(from).Seconds()
	r.row.FinishedShare = float64(took.Finished) / float64(max(1, took.Sent+took.Unsent))
	r.row.CPU = (r.processorSeconds() - usedBefore) / stretch / float64(p.Servers)
	r.row.GossipBytesPerSecond = float64(r.fleet.BytesSent()-sentBefore) / stretch / float64(p.Servers)
	for _, undo := range r.pendingUndo {
		undo()
	}
	if talk {
		err = r.verify()
	}
	return r.row, err
}

// processorSeconds is the processor time of all, in seconds; one that was killed took its own with it, so it is told too low then.
func (r *experiment) processorSeconds() (all float64) {
	for _, s := range r.fleet.Servers {
		if u, err := s.CPUSeconds(); err == nil {
			all += u
		}
	}
	return all
}

// injectFaults does something every half second or so: what it draws does not depend on what the servers do, so that a run with the fleet's parts and one
// without have the same faults.
func (r *experiment) injectFaults(ctx context.Context, talk bool) {
	end := time.Now().Add(time.Duration(r.Seconds * float64(time.Second)))
	pick := func() string { return r.serverNames[r.random.IntN(len(r.serverNames))] }
	for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
		what, name, at, length := r.random.IntN(10), pick(), pick(), time.Duration(300+r.random.IntN(3500))*time.Millisecond
		split := r.random.Uint64()
		if what >= 5 || r.NoFaults {
			if talk && what >= 5 {
				text, waves := fmt.Sprintf("door-come-back %dms\n", 200+n), []float64{0.4}[:r.random.IntN(2)]
				r.releasing.Go(func() { r.release(at, text, waves) })
			}
			time.Sleep(time.Duration(300+r.random.IntN(600)) * time.Millisecond)
			continue
		}
		r.row.Faults++
		switch what {
		case 0:
			r.markDisturbed(length, name)
			if r.fleet.Pause(name) == nil {
				r.undoAfter(length, func() { _ = r.fleet.Resume(name) })
			}
		case 1:
			r.markDisturbed(5*time.Second, name)
			r.mu.Lock()
			_ = r.fleet.Resume(name)
			_ = r.fleet.KillAndRestart(ctx, name)
			r.mu.Unlock()
		case 2: // a cut down the middle
			var groups [2][]string
			for i, n := range r.serverNames {
				groups[split>>i&1] = append(groups[split>>i&1], n)
			}
			r.markDisturbed(length, r.serverNames...)
			r.fleet.Net.Partition(groups[0], groups[1])
			r.undoAfter(length, r.fleet.Net.Heal)
		case 3: // one way
			r.markDisturbed(length, r.serverNames...)
			for _, from := range r.serverNames {
				r.fleet.Net.SetLink(from, name, faultinjection.Link{Cut: true})
			}
			r.undoAfter(length, r.fleet.Net.Heal)
		case 4:
			r.markDisturbed(length, r.serverNames...)
			for _, a := range r.serverNames {
				for _, b := range r.serverNames {
					r.fleet.Net.SetLink(a, b, faultinjection.Link{Loss: 0.3, Duplicate: 0.2, Delay: 5 * time.Millisecond, Jitter: 80 * time.Millisecond})
				}
			}
			r.undoAfter(length, r.fleet.Net.Heal)
		}
		time.Sleep(time.Duration(200+r.random.IntN(800)) * time.Millisecond)
	}
}

// markDisturbed notes that servers may be behind for what is done to them, until a lease after it is over.
func (r *experiment) markDisturbed(length time.Duration, names ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range names {
		now := time.Now()
		r.disturbed[name] = append(r.disturbed[name], [2]time.Time{now.Add(-2 * time.Second), now.Add(length + 2*time.Second)})
	}
}

func (r *experiment) undoAfter(length time.Duration, undo func()) {
	done := make(chan struct{})
	time.AfterFunc(length, func() {
		r.mu.Lock()
		undo()
		r.mu.Unlock()
		close(done)
	})
	r.pendingUndo = append(r.pendingUndo, func() { <-done })
}

func (r *experiment) release(at, text string, waves []float64) {
	e, err := r.fleet.Release(at, text, waves...)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.row.Releases++
		if len(waves) == 0 {
			r.released[e] = time.Now()
		}
	}
}

// verify waits until the fleet has healed, and holds its audit against the ledger.
func (r *experiment) verify() error {
	f := r.fleet
	r.releasing.Wait()
	var s *fleet.Status
	var err error
	healed := faultinjection.WaitUntil(healTimeout, func() bool {
		if s, err = f.Status(r.serverNames[0]); err != nil {
			return false
		}
		return s.ReleaseLog.Next == nil && len(s.Servers) >= len(r.serverNames) && f.AllActiveOn(s.ReleaseLog.Current.Epoch, r.serverNames...)
	})
	if err != nil {
		return err
	}
	if !healed {
		for _, name := range r.serverNames {
			if f.ActiveEpoch(name) < s.ReleaseLog.NewestEpoch() {
				r.row.Unhealed++
			}
		}
		r.row.Unhealed = max(1, r.row.Unhealed)
	}
	if s, err = f.Status(r.serverNames[len(r.serverNames)-1]); err != nil { // of all that was done, by another server
		return err
	}
	r.row.ConflictingDigests = len(f.ConflictingDigestEpochs())
	r.row.ServedWhileEjected = r.countServedWhileEjected()
	r.row.AuditMismatches, r.row.AuditGaps = r.compareAudit(s)
	r.measureCatchUp()
	return r.measureEjection()
}

// measureEjection releases what one server can't apply, and measures when the order has it shut out.
func (r *experiment) measureEjection() error {
	last := r.serverNames[len(r.serverNames)-1]
	r.row.EjectedAfterMillis = -1
	before := len(r.fleet.Events("", faultinjection.EventCommandFinished))
	if _, err := r.fleet.Release(r.serverNames[0], "door-prefix-ipv4 24\n"); err != nil { // what the others have already
		return err
	}
	from := time.Now()
	faultinjection.WaitUntil(healTimeout, func() bool {
		for _, s := range r.fleet.Events("", faultinjection.EventCommandFinished)[before:] {
			if s.Fields["command"] == "eject" && s.Fields["name"] == last && s.Fields["rejected"] == "<nil>" {
				r.row.EjectedAfterMillis = 1000 * s.Time.Sub(from).Seconds()
				return true
			}
		}
		return false
	})
	return nil
}

// configsByIncarnation splits what a server said by its lives, named as the audit names them.
func configsByIncarnation(f *faultinjection.Fleet, name string) (ids []uint64, acts map[uint64][]faultinjection.LogEvent) {
	acts = map[uint64][]faultinjection.LogEvent{}
	for _, s := range f.Events(name, "") {
		switch s.Event {
		case faultinjection.EventFleetStarted:
			id, err := strconv.ParseUint(s.Fields["incarnation"], 16, 64)
			if err == nil {
				ids = append(ids, id)
				acts[id] = nil
			}
		case faultinjection.EventConfigApplied:
			if len(ids) > 0 {
				id := ids[len(ids)-1]
				acts[id] = append(acts[id], s)
			}
		}
	}
	return ids, acts
}

// compareAudit counts where the audit says other than the servers did: an interval that was not, or one that was and is neither told nor in a hole.
func (r *experiment) compareAudit(s *fleet.Status) (wrong, holes int) {
	for _, name := range r.serverNames {
		ids, acts := configsByIncarnation(r.fleet, name)
		for i, id := range ids {
			told := map[string]bool{}
			hole := slices.ContainsFunc(s.Audit.Gaps, func(h audit.Gap) bool { return h.Name == name && h.Incarnation == id })
			for _, a := range s.Audit.Accounts {
				if a.Name != name || a.Incarnation != id {
					continue
				}
				for _, t := range a.Intervals {
					if t.Epoch != 0 {
						told[t.Epoch.String()+" "+t.Digest] = true
					}
				}
			}
			for _, said := range acts[id] {
				key := said.Fields["epoch"] + " " + said.Fields["digest"]
				switch {
				case told[key]:
					delete(told, key)
				case hole || i < len(ids)-1: // a life that is over: what it did last may be known to nobody
					holes++
				default:
					wrong++
				}
			}
			wrong += len(told)
		}
	}
	return wrong, holes
}

// countServedWhileEjected counts servers that said they serve while the order had them shut out.
func (r *experiment) countServedWhileEjected() (n int) {
	out := map[string]time.Time{}
	for _, s := range r.fleet.Events("", faultinjection.EventCommandFinished) {
		name := s.Fields["name"]
		switch {
		case s.Fields["rejected"] != "<nil>":
		case s.Fields["command"] == "eject":
			if _, known := out[name]; !known {
				out[name] = s.Time
			}
		case s.Fields["command"] == "readmit":
			delete(out, name)
		}
		if at, is := out[name]; is && s.Fields["command"] == "eject" {
			stances := r.fleet.Events(name, faultinjection.EventServingModeChanged)
			last := "normal"
			for _, st := range stances {
				if st.Time.Before(at.Add(200 * time.Millisecond)) { // its line may have taken a little longer
					last = st.Fields["mode"]
				}
			}
			if last != "out_of_service" {
				n++
			}
		}
	}
	return n
}

// measureCatchUp measures how soon servers that could hear acted on a release to all, from when its operator had the word.
func (r *experiment) measureCatchUp() {
	var took []float64
	r.mu.Lock()
	defer r.mu.Unlock()
	for e, at := range r.released {
		for _, name := range r.serverNames {
			if slices.ContainsFunc(r.disturbed[name], func(d [2]time.Time) bool { return at.After(d[0]) && at.Before(d[1]) }) {
				continue
			}
			for _, s := range r.fleet.Events(name, faultinjection.EventConfigApplied) {
				if on, err := release.ParseEpoch(s.Fields["epoch"]); err == nil && on >= e {
					took = append(took, max(0, 1000*s.Time.Sub(at).Seconds()))
					break
				}
			}
		}
	}
	r.row.CatchUps = len(took)
	r.row.CatchUpLatency = report.NewCatchUpLatency(took)
}
