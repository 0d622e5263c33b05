package lease

import (
	"fmt"
	"testing"

	"swiftcourse/internal/policy/serving"
)

func TestHolder_FallbackAfterExpiry(t *testing.T) {
	for _, test := range []struct {
		fallback serving.Mode
		want     map[serving.Mode]int
	}{
		{serving.ModeNormal, map[serving.Mode]int{serving.ModeNormal: 8}},
		{serving.ModeSafeDefaults, map[serving.Mode]int{serving.ModeSafeDefaults: 8}},
		{serving.ModeOutOfService, map[serving.Mode]int{serving.ModeOutOfService: 2, serving.ModeSafeDefaults: 6}},
	} {
		t.Run(test.fallback.String(), func(t *testing.T) {
			c := newCluster(t, 5, 8, test.fallback)
			c.run(3 * testConfig.Duration)
			c.partitioned = true
			c.run(3 * testConfig.Duration)
			modes := map[serving.Mode]int{}
			for _, s := range c.servers {
				modes[s.snapshot.ModeAt(s.clock(c.now))]++
			}
			if fmt.Sprint(modes) != fmt.Sprint(test.want) {
				t.Errorf("%v, not %v", modes, test.want)
			}
		})
	}
}

func TestHolder_StaleReplyIsIgnored(t *testing.T) {
	h := NewHolder(HolderConfig{Name: "n", Incarnation: 9, Addr: "a", LeaseSeconds: 3}, 100)
	first, second := h.NewRequest(100), h.NewRequest(101)
	replyTo := func(request Request, verdict Verdict) *Reply {
		return &Reply{Incarnation: 9, Number: request.Number, Verdict: verdict, Duration: 3, AssignedEpoch: 5}
	}
	toEarlier := replyTo(second, VerdictGranted)
	toEarlier.Incarnation = 8
	toNone := replyTo(second, VerdictGranted)
	toNone.Number = 77
	for _, test := range []struct {
		name  string
		reply *Reply
		at    float64
		want  State
	}{
		{"to an earlier incarnation", toEarlier, 101, StateInitial},
		{"to no request", toNone, 101, StateInitial},
		{"that came after its lease had ended", replyTo(second, VerdictGranted), 104, StateInitial},
	} {
		if h.HandleReply(test.at, test.reply); h.state != test.want {
			t.Errorf("a reply %s: %s", test.name, h.state)
		}
	}
	third, fourth := h.NewRequest(105), h.NewRequest(106)
	if h.HandleReply(106.5, replyTo(fourth, VerdictGranted)); h.state != StateLeased || h.leaseEnd != 109 {
		t.Errorf("a lease: %s until %g", h.state, h.leaseEnd)
	}
	if h.HandleReply(106.6, replyTo(third, VerdictEjected)); h.state != StateLeased {
		t.Error("an older reply that came later changed its state")
	}
	if h.HandleReply(106.6, replyTo(first, VerdictEjected)); h.state != StateLeased {
		t.Error("a reply to a request that is no longer pending changed its state")
	}
	if snapshot := h.Snapshot(); snapshot.ModeAt(108.9) != serving.ModeNormal || snapshot.ChangesAt != 109 {
		t.Error("it has a lease until 109")
	}
	if h.Expire(109); h.state != StateExpired {
		t.Errorf("after its lease it is %s", h.state)
	}
}
