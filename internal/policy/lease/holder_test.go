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
			c.run(3 * testConfig.LeaseSeconds)
			c.partitioned = true
			c.run(3 * testConfig.LeaseSeconds)
			modes := map[serving.Mode]int{}
			for _, s := range c.servers {
				modes[s.snapshot.ModeAt(s.clock(c.now))]++
			}
			if fmt.Sprint(modes) != fmt.Sprint(test.want) {
				t.Errorf("servers by mode: %v, want %v", modes, test.want)
			}
		})
	}
}

func TestHolder_StaleReplyIsIgnored(t *testing.T) {
	h := NewHolder(HolderConfig{Name: "n", Incarnation: 9, Addr: "a", LeaseSeconds: 3}, 100)
	first, second := h.NewRequest(100), h.NewRequest(101)
	replyTo := func(request Request, verdict Verdict) *Reply {
		return &Reply{Incarnation: 9, Number: request.Number, Verdict: verdict, LeaseSeconds: 3, AssignedEpoch: 5}
	}
	toEarlierIncarnation := replyTo(second, VerdictGranted)
	toEarlierIncarnation.Incarnation = 8
	toUnknownRequest := replyTo(second, VerdictGranted)
	toUnknownRequest.Number = 77
	for _, test := range []struct {
		name  string
		reply *Reply
		at    float64
		want  State
	}{
		{"to an earlier incarnation", toEarlierIncarnation, 101, StateInitial},
		{"to an unknown request", toUnknownRequest, 101, StateInitial},
		{"received after the end of its lease", replyTo(second, VerdictGranted), 104, StateInitial},
	} {
		if h.HandleReply(test.at, test.reply); h.state != test.want {
			t.Errorf("reply %s: state %s, want %s", test.name, h.state, test.want)
		}
	}
	third, fourth := h.NewRequest(105), h.NewRequest(106)
	if h.HandleReply(106.5, replyTo(fourth, VerdictGranted)); h.state != StateLeased || h.leaseEnd != 109 {
		t.Errorf("after a grant: state %s, lease end %g, want %s and 109", h.state, h.leaseEnd, StateLeased)
	}
	if h.HandleReply(106.6, replyTo(third, VerdictEjected)); h.state != StateLeased {
		t.Errorf("after a late reply to an older request: state %s, want %s", h.state, StateLeased)
	}
	if h.HandleReply(106.6, replyTo(first, VerdictEjected)); h.state != StateLeased {
		t.Errorf("after a reply to a request that is no longer pending: state %s, want %s",
			h.state, StateLeased)
	}
	if snapshot := h.Snapshot(); snapshot.ModeAt(108.9) != serving.ModeNormal || snapshot.ChangesAt != 109 {
		t.Errorf("mode %s at 108.9, change at %g; want %s and 109",
			snapshot.ModeAt(108.9), snapshot.ChangesAt, serving.ModeNormal)
	}
	if h.Expire(109); h.state != StateExpired {
		t.Errorf("after the end of the lease: state %s, want %s", h.state, StateExpired)
	}
}
