package release

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// releaseCommand releases a text on what the log knows.
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

// bootstrapped returns a log with that many registered servers: n0 of incarnation 1, n1 of 2 and so
// on.
func bootstrapped(servers int) *Log {
	log := BootstrapLog(&Log{}, 7, map[uint64]string{1: "v1"})
	for i := range servers {
		_ = log.Apply(&Command{Kind: KindRegister, Name: fmt.Sprint("n", i), Incarnation: uint64(i + 1)})
	}
	return log
}

// inForce returns the versions that are in force.
func inForce(log *Log) []*Version {
	if log.Next == nil {
		return []*Version{&log.Current}
	}
	return []*Version{&log.Current, log.Next}
}

// drawCommand draws a command, many of which are refused.
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

// logHistory checks a log against all that it was before.
type logHistory struct {
	digests map[Epoch]string
	actsOn  map[string]Epoch // by server
}

func (h *logHistory) check(t *rapid.T, log *Log, command *Command) {
	t.Helper()
	for _, version := range inForce(log) {
		if digest, seen := h.digests[version.Epoch]; seen && digest != version.Digest || !version.DigestMatches() {
			t.Fatalf("epoch %s: %s and %s", version.Epoch, digest, version.Digest)
		}
		h.digests[version.Epoch] = version.Digest
	}
	for _, name := range []string{"n0", "n1", "n2", "n9", "unregistered"} {
		epoch := log.VersionFor(name).Epoch
		if epoch < h.actsOn[name] {
			t.Fatalf("%s goes back from %s to %s by %+v", name, h.actsOn[name], epoch, command)
		}
		h.actsOn[name] = epoch
	}
	if len(log.History) > maxHistory || len(log.LastCommandIDs) > maxAuthors {
		t.Fatalf("%d history entries, %d command IDs", len(log.History), len(log.LastCommandIDs))
	}
}

// TestLog_AnyCommands: whatever is asked, no server's epoch decreases, no epoch has two digests, a
// refused command changes nothing but the count, every limit holds, and a copy that applied the
// same commands is equal.
func TestLog_AnyCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := bootstrapped(rapid.IntRange(0, 6).Draw(t, "servers"))
		replica := log.Clone()
		history := &logHistory{digests: map[Epoch]string{}, actsOn: map[string]Epoch{}}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			command := drawCommand(t, log)
			before := log.Clone()
			err := log.Apply(command)
			if other := replica.Apply(command); !errors.Is(other, err) || !reflect.DeepEqual(log, replica) {
				t.Fatalf("a copy differs after %+v: %v, %v", command, err, other)
			}
			before.AppliedCount++
			if err != nil && !reflect.DeepEqual(before, log) {
				t.Fatalf("refused by %v, it changed all the same: %+v", err, command)
			}
			history.check(t, log, command)
		}
	})
}

// shortSequences plays every sequence of commands by two operators, each of whom knows what was
// newest at some time.
type shortSequences struct {
	t      *testing.T
	played int
}

// commandsOf are what one operator may ask for.
func commandsOf(operator int, expected Epoch) []*Command {
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

func (s *shortSequences) play(log *Log, known [2]Epoch, digests map[Epoch]string, depth int) {
	if depth == 0 {
		s.played++
		return
	}
	for operator := range known {
		for _, command := range commandsOf(operator, known[operator]) {
			next := log.Clone()
			nextKnown := known
			err := next.Apply(command)
			if stale := known[operator] != log.NewestEpoch(); stale != errors.Is(err, ErrStaleEpoch) {
				s.t.Fatalf("on %s while %s is newest: %v", known[operator], log.NewestEpoch(), err)
			}
			if err != nil {
				nextKnown[operator] = next.NewestEpoch() // the operator looks
			}
			s.play(next, nextKnown, s.checkStep(log, next, digests), depth-1)
		}
	}
}

// checkStep checks one command's change, and returns the digests with those of the new log.
func (s *shortSequences) checkStep(before, after *Log, digests map[Epoch]string) map[Epoch]string {
	s.t.Helper()
	seen := map[Epoch]string{}
	for epoch, digest := range digests {
		seen[epoch] = digest
	}
	for _, version := range inForce(after) {
		if digest, known := seen[version.Epoch]; known && digest != version.Digest {
			s.t.Fatalf("epoch %s has two digests", version.Epoch)
		}
		seen[version.Epoch] = version.Digest
	}
	if after.VersionFor("n0").Epoch < before.VersionFor("n0").Epoch || after.NewestEpoch() < before.NewestEpoch() {
		s.t.Fatal("an epoch went back")
	}
	return seen
}

func TestLog_AllShortSequences(t *testing.T) {
	sequences := &shortSequences{t: t}
	log := bootstrapped(2)
	sequences.play(log, [2]Epoch{log.NewestEpoch(), log.NewestEpoch()}, map[Epoch]string{}, 5)
	if sequences.played != 32768 {
		t.Errorf("%d sequences of five out of eight", sequences.played)
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
			t.Errorf("%+v after %+v: %t", c.position, c.other, got)
		}
	}
}

func BenchmarkLog_ApplyRelease(b *testing.B) {
	log := bootstrapped(1000)
	text := strings.Repeat("door-known 10.1.0.0/16\n", 40)
	for b.Loop() {
		_ = log.Apply(releaseCommand(log, text, 0.01, 0.1))
		_ = log.Apply(&Command{Kind: KindRollback, ExpectedEpoch: log.NewestEpoch()})
	}
}

func BenchmarkLog_VersionForAThousandServers(b *testing.B) {
	log := bootstrapped(1000)
	_ = log.Apply(releaseCommand(log, "x", 0.5))
	for b.Loop() {
		log.VersionFor("n123")
	}
}
