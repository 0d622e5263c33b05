package release

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// releaseCommand returns a command that releases a text, with the newest epoch of the log expected.
func releaseCommand(log *Log, text string, waves ...float64) *Command {
	return &Command{
		Kind:          KindRelease,
		Author:        "a",
		ExpectedEpoch: log.NewestEpoch(),
		Text:          text,
		Digest:        Digest(text, ""),
		Waves:         waves,
	}
}

// newBootstrappedLog returns a log with the given number of registered servers: n0 with incarnation
// 1, n1 with incarnation 2 and so on.
func newBootstrappedLog(servers int) *Log {
	log := BootstrapLog(&Log{}, 7, map[uint64]string{1: "v1"})
	for i := range servers {
		_ = log.Apply(&Command{Kind: KindRegister, Name: fmt.Sprint("n", i), Incarnation: uint64(i + 1)})
	}
	return log
}

// versionsInForce returns the versions that some server has to run.
func versionsInForce(log *Log) []*Version {
	if log.Next == nil {
		return []*Version{&log.Current}
	}
	return []*Version{&log.Current, log.Next}
}

// drawCommand draws a command. The log refuses many of them.
func drawCommand(t *rapid.T, log *Log) *Command {
	command := &Command{
		Kind:        Kind(rapid.IntRange(0, int(kindCount)).Draw(t, "kind")),
		Author:      rapid.SampledFrom([]string{"a", "b"}).Draw(t, "author"),
		ID:          uint64(rapid.IntRange(0, 3).Draw(t, "id")),
		Name:        rapid.SampledFrom([]string{"", "n0", "n1", "n9"}).Draw(t, "name"),
		Incarnation: uint64(rapid.IntRange(0, 3).Draw(t, "incarnation")),
		Previous:    uint64(rapid.IntRange(0, 12).Draw(t, "previous")),
		Text:        rapid.SampledFrom([]string{"", "x", "y", strings.Repeat("z", maxTextBytes+1)}).Draw(t, "text"),
		Waves:       rapid.SampledFrom([][]float64{nil, {0.5}, {0.01, 0.5, 1}, {0.5, 0.1}}).Draw(t, "waves"),
	}
	command.Digest = Digest(command.Text, "")
	switch rapid.SampledFrom([]string{"newest", "current", "next", "wrong"}).Draw(t, "expected") {
	case "newest":
		command.ExpectedEpoch = log.NewestEpoch()
	case "current":
		command.ExpectedEpoch = log.Current.Epoch
	case "next":
		command.ExpectedEpoch = log.NewestEpoch() + 1
	}
	return command
}

// logHistory checks a log against its earlier states.
type logHistory struct {
	digests        map[Epoch]string
	assignedEpochs map[string]Epoch // by server name
}

func (h *logHistory) check(t *rapid.T, log *Log, command *Command) {
	t.Helper()
	for _, version := range versionsInForce(log) {
		if digest, seen := h.digests[version.Epoch]; seen && digest != version.Digest || !version.DigestMatches() {
			t.Fatalf("epoch %s: digest %q, earlier %q (\"\" if new), matches its text: %t; want no change and a match",
				version.Epoch, version.Digest, digest, version.DigestMatches())
		}
		h.digests[version.Epoch] = version.Digest
	}
	for _, name := range []string{"n0", "n1", "n2", "n9", "unregistered"} {
		epoch := log.VersionFor(name).Epoch
		if epoch < h.assignedEpochs[name] {
			t.Fatalf("assigned epoch of %s decreases from %s to %s by %+v",
				name, h.assignedEpochs[name], epoch, command)
		}
		h.assignedEpochs[name] = epoch
	}
	if len(log.History) > maxHistory || len(log.LastCommandIDs) > maxAuthors {
		t.Fatalf("%d history entries and %d command IDs, want at most %d and %d",
			len(log.History), len(log.LastCommandIDs), maxHistory, maxAuthors)
	}
}

// TestLog_RandomCommands applies random commands and checks that no server's assigned epoch
// decreases, no epoch has two digests, a refused command changes only AppliedCount, the limits on
// history and command IDs hold, and a replica that applied the same commands is equal.
func TestLog_RandomCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := newBootstrappedLog(rapid.IntRange(0, 6).Draw(t, "servers"))
		replica := log.Clone()
		history := &logHistory{digests: map[Epoch]string{}, assignedEpochs: map[string]Epoch{}}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			command := drawCommand(t, log)
			before := log.Clone()
			err := log.Apply(command)
			if other := replica.Apply(command); !errors.Is(other, err) || !reflect.DeepEqual(log, replica) {
				t.Fatalf("replica differs after %+v: errors %v and %v, states equal: %t",
					command, err, other, reflect.DeepEqual(log, replica))
			}
			before.AppliedCount++
			if err != nil && !reflect.DeepEqual(before, log) {
				t.Fatalf("a command refused with %q changed more than AppliedCount: %+v", err, command)
			}
			history.check(t, log, command)
		}
	})
}

// sequenceChecker applies every sequence of commands by two operators. Each operator expects the
// epoch that was the newest when the operator last looked, which may be out of date.
type sequenceChecker struct {
	t       *testing.T
	applied int // complete sequences
}

// operatorCommands returns the commands that one operator may issue.
func operatorCommands(operator int, expected Epoch) []*Command {
	text := fmt.Sprint("door-lobby ", operator+1)
	commands := []*Command{
		{Kind: KindRelease, Text: text, Digest: Digest(text, "")},
		{Kind: KindRelease, Text: text, Digest: Digest(text, ""), Waves: []float64{0.5}},
		{Kind: KindAdvanceRollout},
		{Kind: KindRollback},
	}
	for _, command := range commands {
		command.ExpectedEpoch = expected
		command.Author = fmt.Sprint(operator)
	}
	return commands
}

// apply applies every sequence of depth commands to the log. known holds the newest epoch that each
// operator knows. digests holds the digest of each epoch so far.
func (s *sequenceChecker) apply(log *Log, known [2]Epoch, digests map[Epoch]string, depth int) {
	if depth == 0 {
		s.applied++
		return
	}
	for operator := range known {
		for _, command := range operatorCommands(operator, known[operator]) {
			next := log.Clone()
			nextKnown := known
			err := next.Apply(command)
			if stale := known[operator] != log.NewestEpoch(); stale != errors.Is(err, ErrStaleEpoch) {
				s.t.Fatalf("expected epoch %s with newest epoch %s: error %v, want %v only if they differ",
					known[operator], log.NewestEpoch(), err, ErrStaleEpoch)
			}
			if err != nil {
				nextKnown[operator] = next.NewestEpoch() // the operator looks up the newest epoch
			}
			s.apply(next, nextKnown, s.checkStep(log, next, digests), depth-1)
		}
	}
}

// checkStep checks the change that one command made. It returns the digests with those of the new
// log added.
func (s *sequenceChecker) checkStep(before, after *Log, digests map[Epoch]string) map[Epoch]string {
	s.t.Helper()
	seen := map[Epoch]string{}
	for epoch, digest := range digests {
		seen[epoch] = digest
	}
	for _, version := range versionsInForce(after) {
		if digest, known := seen[version.Epoch]; known && digest != version.Digest {
			s.t.Fatalf("epoch %s has digest %s, want %s as before", version.Epoch, version.Digest, digest)
		}
		seen[version.Epoch] = version.Digest
	}
	if after.VersionFor("n0").Epoch < before.VersionFor("n0").Epoch || after.NewestEpoch() < before.NewestEpoch() {
		s.t.Fatalf("assigned epoch from %s to %s, newest epoch from %s to %s; want no decrease",
			before.VersionFor("n0").Epoch, after.VersionFor("n0").Epoch, before.NewestEpoch(), after.NewestEpoch())
	}
	return seen
}

func TestLog_AllSequencesOfFiveCommands(t *testing.T) {
	checker := &sequenceChecker{t: t}
	log := newBootstrappedLog(2)
	checker.apply(log, [2]Epoch{log.NewestEpoch(), log.NewestEpoch()}, map[Epoch]string{}, 5)
	if checker.applied != 32768 {
		t.Errorf("%d sequences of five out of eight commands, want 32768", checker.applied)
	}
}

func TestPosition_After(t *testing.T) {
	for _, c := range []struct {
		position, other Position
		want            bool
	}{
		{Position{ClusterID: 2, AppliedCount: 1}, Position{ClusterID: 1, AppliedCount: 9}, true},
		{Position{ClusterID: 1, AppliedCount: 9}, Position{ClusterID: 2, AppliedCount: 1}, false},
		{Position{ClusterID: 2, AppliedCount: 3}, Position{ClusterID: 2, AppliedCount: 2}, true},
		{Position{ClusterID: 2, AppliedCount: 2}, Position{ClusterID: 2, AppliedCount: 3}, false},
		{Position{ClusterID: 2, AppliedCount: 2}, Position{ClusterID: 2, AppliedCount: 2}, false},
	} {
		if got := c.position.After(c.other); got != c.want {
			t.Errorf("%+v after %+v: got %t, want %t", c.position, c.other, got, c.want)
		}
	}
}

func BenchmarkLog_ApplyRelease(b *testing.B) {
	log := newBootstrappedLog(1000)
	text := strings.Repeat("door-known 10.1.0.0/16\n", 40)
	for b.Loop() {
		_ = log.Apply(releaseCommand(log, text, 0.01, 0.1))
		_ = log.Apply(&Command{Kind: KindRollback, ExpectedEpoch: log.NewestEpoch()})
	}
}

func BenchmarkLog_VersionFor1000Servers(b *testing.B) {
	log := newBootstrappedLog(1000)
	_ = log.Apply(releaseCommand(log, "x", 0.5))
	for b.Loop() {
		log.VersionFor("n123")
	}
}
