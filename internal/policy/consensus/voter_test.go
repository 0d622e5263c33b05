package consensus

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "go.etcd.io/raft/v3/raftpb"

	"swiftcourse/internal/policy/release"
)

// plain is a codec for tests.
type plain struct{}

func (plain) MarshalCommand(c *release.Command) []byte { b, _ := json.Marshal(c); return b }
func (plain) MarshalLog(o *release.Log) []byte         { b, _ := json.Marshal(o); return b }
func (plain) UnmarshalCommand(b []byte) (*release.Command, error) {
	c := &release.Command{}
	return c, json.Unmarshal(b, c)
}
func (plain) UnmarshalLog(b []byte) (*release.Log, error) {
	o := &release.Log{}
	return o, json.Unmarshal(b, o)
}

// hall plays voters over a network that delays, loses, doubles and cuts, in simulated time.
type hall struct {
	t       interface{ Fatalf(string, ...any) }
	chance  *rand.Rand
	now     float64
	names   []string
	voters  map[string]*Voter // nil while one is down
	asleep  map[string]bool   // stopped, with what comes waiting
	cut     map[[2]string]bool
	loss    float64
	started int
	mail    []posted
	held    map[string][]Message
	texts   map[release.Epoch]string // the digest that each epoch was ever seen with
	copies  map[string]string        // what each place in the order was ever seen as
	done    map[uint64]error
}

type posted struct {
	at       float64
	from, to string
	m        Message
}

func newHall(t interface{ Fatalf(string, ...any) }, seed uint64, n int) *hall {
	h := &hall{t: t, chance: rand.New(rand.NewPCG(seed, 7)), voters: map[string]*Voter{}, asleep: map[string]bool{}, cut: map[[2]string]bool{},
		held: map[string][]Message{}, texts: map[release.Epoch]string{}, copies: map[string]string{}, done: map[uint64]error{}}
	for i := range n {
		h.names = append(h.names, fmt.Sprintf("v%d", i+1))
	}
	for _, name := range h.names {
		h.start(name)
	}
	return h
}

func (h *hall) start(name string) {
	h.started++
	h.voters[name] = NewVoter(name, h.names, int64(h.started), plain{}, h.now, epochStart+1000+h.now)
	h.held[name], h.asleep[name] = nil, false
}

// copied is a message as it comes out of the network: nothing in it is shared.
func copied(m Message) Message {
	if m.Raft != nil {
		m.Raft = proto.Clone(m.Raft).(*pb.Message)
	}
	return m
}

func (h *hall) collect(name string) {
	v := h.voters[name]
	for _, l := range v.TakeOutbox() {
		for range 1 + h.chance.IntN(11)/10 { // one in eleven is doubled
			if h.cut[[2]string{name, l.To}] || h.chance.Float64() < h.loss {
				continue
			}
			h.mail = append(h.mail, posted{h.now + 0.001 + 0.02*h.chance.ExpFloat64(), name, l.To, copied(l.Message)})
		}
	}
	for _, e := range v.TakeResults() {
		if e.Command.ID != 0 {
			h.done[e.Command.ID] = e.Err
		}
	}
	h.watch(v.ReleaseLog())
}

// watch holds what a voter knows against all that any voter ever knew.
func (h *hall) watch(o *release.Log) {
	for _, v := range []*release.Version{&o.Current, o.Next} {
		if v == nil || v.Epoch == 0 {
			continue
		}
		if was, seen := h.texts[v.Epoch]; seen && was != v.Digest {
			h.t.Fatalf("epoch %s has two digests at %.3f", v.Epoch, h.now)
		}
		h.texts[v.Epoch] = v.Digest
	}
	place := fmt.Sprintf("%d/%d", o.Current.Epoch.ClusterID(), o.AppliedCount)
	text := string(plain{}.MarshalLog(o))
	if was, seen := h.copies[place]; seen && was != text {
		h.t.Fatalf("place %s has two copies at %.3f:\n%s\n%s", place, h.now, was, text)
	}
	h.copies[place] = text
}

// run lets time pass.
func (h *hall) run(seconds float64) {
	for end := h.now + seconds; h.now < end; {
		h.now += 0.005
		if len(h.mail) > 20000 {
			h.t.Fatalf("a storm of messages at %.3f: %s", h.now, h.state())
		}
		slices.SortStableFunc(h.mail, func(a, b posted) int { return cmp.Compare(a.at, b.at) })
		for len(h.mail) > 0 && h.mail[0].at <= h.now {
			p := h.mail[0]
			h.mail = h.mail[1:]
			switch v := h.voters[p.to]; {
			case v == nil || h.cut[[2]string{p.from, p.to}]:
			case h.asleep[p.to]:
				if len(h.held[p.to]) < 500 {
					h.held[p.to] = append(h.held[p.to], p.m)
				}
			default:
				v.HandleMessage(h.now, &p.m)
				h.collect(p.to)
			}
		}
		for _, name := range h.names {
			if v := h.voters[name]; v != nil && !h.asleep[name] && v.NextWakeup() <= h.now {
				v.Tick(h.now)
				h.collect(name)
			}
		}
	}
}

func (h *hall) wake(name string) {
	h.asleep[name] = false
	for _, m := range h.held[name] {
		if v := h.voters[name]; v != nil {
			v.HandleMessage(h.now, &m)
			h.collect(name)
		}
	}
	h.held[name] = nil
}

// heal has everybody up and in reach, and waits until the voters agree on a leader.
func (h *hall) heal() {
	clear(h.cut)
	h.loss = 0
	for _, name := range h.names {
		if h.voters[name] == nil {
			h.start(name)
		}
		h.wake(name)
	}
	for range 200 {
		h.run(0.2)
		leaders, seated := 0, 0
		for _, v := range h.voters {
			if v.Joined() {
				seated++
			}
			if v.IsLeader(h.now - 1) {
				leaders++
			}
		}
		if leaders == 1 && seated == len(h.names) {
			return
		}
	}
	h.t.Fatalf("no leader 40 s after all was healed, at %.1f: %s", h.now, h.state())
}

func (h *hall) state() string {
	var b strings.Builder
	for _, name := range h.names {
		if v := h.voters[name]; v != nil {
			fmt.Fprintf(&b, "%s life %x founding %d lead %x count %d seats %v; ", name, v.life, v.founding, v.lead, v.order.AppliedCount, v.order.Voters)
		}
	}
	return b.String()
}

var drawnID uint64

// release asks one voter for a release on what it knows, again until it has an end or a time is over.
func (h *hall) release(name, text string, seconds float64) (error, bool) {
	drawnID++
	id := drawnID
	v := h.voters[name]
	if v == nil {
		return nil, false
	}
	c := &release.Command{Kind: release.KindRelease, ID: id, Author: "operator " + name, ExpectedEpoch: v.ReleaseLog().NewestEpoch(), Text: text, Digest: release.Digest(text, "")}
	for end := h.now + seconds; h.now < end; h.run(0.3) {
		if err, ended := h.done[id]; ended {
			return err, true
		}
		if v := h.voters[name]; v != nil && !h.asleep[name] {
			v.Propose(c)
			h.collect(name)
		}
	}
	return nil, false
}

func TestVotersFoundAndRelease(t *testing.T) {
	for _, n := range []int{1, 3, 5} {
		h := newHall(t, uint64(n), n)
		h.heal()
		if err, ended := h.release("v1", "door on", 5); err != nil || !ended {
			t.Fatalf("%d voters: release ended %v, %v", n, ended, err)
		}
		h.run(1)
		for name, v := range h.voters {
			if v.ReleaseLog().Current.Text != "door on" {
				t.Errorf("%d voters: %s has %q", n, name, v.ReleaseLog().Current.Text)
			}
		}
	}
}

func TestTwoOperatorsReleaseAtOnce(t *testing.T) {
	h := newHall(t, 11, 3)
	h.heal()
	on := h.voters["v1"].ReleaseLog().NewestEpoch()
	for i, name := range h.names[:2] {
		text := fmt.Sprint("door-lobby ", i+1)
		h.voters[name].Propose(&release.Command{Kind: release.KindRelease, ID: uint64(1e6 + i), Author: name, ExpectedEpoch: on, Text: text, Digest: release.Digest(text, "")})
		h.collect(name)
	}
	h.run(3)
	first, second := h.done[1e6], h.done[1e6+1]
	if len(h.done) != 2 || (first == nil) == (second == nil) {
		t.Fatalf("one of two has to be refused: %v, %v of %d", first, second, len(h.done))
	}
}

func TestReleaseOnTheCutOffSideIsNone(t *testing.T) {
	h := newHall(t, 5, 5)
	h.heal()
	for _, a := range h.names[:2] {
		for _, b := range h.names[2:] {
			h.cut[[2]string{a, b}], h.cut[[2]string{b, a}] = true, true
		}
	}
	h.run(4)
	if _, ended := h.release("v1", "door-lobby 7", 4); ended {
		t.Fatal("two of five voters committed a release")
	}
	if err, ended := h.release("v4", "door-lobby 9", 6); err != nil || !ended {
		t.Fatalf("three of five did not: %v, %v", ended, err)
	}
	if h.voters["v1"].IsLeader(h.now - 1.5) {
		t.Error("a voter in the minority still takes itself for a confirmed leader")
	}
	h.heal()
	h.run(2)
	if got := h.voters["v1"].ReleaseLog().Current.Text; got != "door-lobby 9" {
		t.Errorf("after the cut v1 has %q", got)
	}
}

func TestAVoterReturnsColdAndAllReturnCold(t *testing.T) {
	h := newHall(t, 3, 3)
	h.heal()
	if err, ended := h.release("v2", "door on", 5); err != nil || !ended {
		t.Fatal(ended, err)
	}
	h.run(0.5)
	before := h.voters["v1"].ReleaseLog().Current.Epoch
	h.start("v1") // its log is gone
	h.heal()
	if o := h.voters["v1"].ReleaseLog(); o.Current.Text != "door on" || o.Current.Epoch != before {
		t.Errorf("back cold, v1 has %s %q, not %s", o.Current.Epoch, o.Current.Text, before)
	}
	known := h.voters["v3"].ReleaseLog()
	for _, name := range h.names {
		h.start(name)
	}
	h.voters["v2"].ObserveReleaseLog(known) // a follower that lived on told one of them
	h.heal()
	h.run(1)
	for name, v := range h.voters {
		if o := v.ReleaseLog(); o.Current.Text != "door on" || o.Current.Epoch <= before || o.Current.Epoch.ClusterID() == before.ClusterID() {
			t.Errorf("after all were cold %s has %s %q", name, o.Current.Epoch, o.Current.Text)
		}
	}
	if err, ended := h.release("v3", "door off", 5); err != nil || !ended {
		t.Errorf("release after that: %v, %v", ended, err)
	}
}

// TestNoEpochHasTwoVersions plays drawn schedules of kills, stops, cuts, losses and releases. What is checked is in watch: no epoch has two
// digests and no place in the order two copies, whatever any voter ever knew; and once healed the voters take a release again.
func TestNoEpochHasTwoVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 3, 4, 5}).Draw(t, "voters")
		h := newHall(t, rapid.Uint64().Draw(t, "seed"), n)
		if rapid.Bool().Draw(t, "settled") {
			h.heal()
		}
		pick := func(label string) string { return rapid.SampledFrom(h.names).Draw(t, label) }
		for i := range rapid.IntRange(1, 12).Draw(t, "steps") {
			switch rapid.IntRange(0, 8).Draw(t, "step") {
			case 0:
				h.voters[pick("kill")] = nil
			case 1, 2:
				h.start(pick("restart"))
			case 3:
				h.asleep[pick("stop")] = true
			case 4:
				h.wake(pick("wake"))
			case 5:
				h.cut[[2]string{pick("from"), pick("to")}] = true
			case 6:
				clear(h.cut)
			case 7:
				h.loss = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss")
			case 8:
				if name := pick("at"); h.voters[name] != nil && !h.asleep[name] {
					text := fmt.Sprint("door-lobby ", i+1)
					h.voters[name].Propose(&release.Command{Kind: release.KindRelease, Author: name, ExpectedEpoch: h.voters[name].ReleaseLog().NewestEpoch(), Text: text, Digest: release.Digest(text, "")})
					h.collect(name)
				}
			}
			h.run(rapid.SampledFrom([]float64{0.01, 0.1, 1, 5}).Draw(t, "wait"))
		}
		h.heal()
		if err, ended := h.release(h.names[0], "door on", 20); err != nil && err != release.ErrStaleEpoch || !ended {
			t.Fatalf("healed, a release ended %v with %v: %s", ended, err, h.state())
		}
	})
}
