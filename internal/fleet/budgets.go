package fleet

import (
	"errors"
	"math"
	"time"

	"swiftcourse/internal/policy/quota"
	"swiftcourse/internal/policy/release"
	wire "swiftcourse/internal/wire/fleet"
)

// This file is a process's part in the budgets that all share: what its loop used goes to the holder's judge, questions to the voter that leads, whose
// granter's judge answers, and what may be used back to the loop.

// QuotaConfig is what a process does with them.
type QuotaConfig struct {
	Settings     func() quota.Config     // as the version says on which the server acts
	OnAllowances func([]quota.Allowance) // hands the serving loop what it may use, by the fleet's clock
}

// Usage is what the serving loop used of a budget lately.
type Usage struct {
	Name         string
	Demand, Open float64
	Answer       uint64 // of the Allowed by which it goes
}

// maxUsageLists lists of them wait for the goroutine; a newer one comes soon.
const maxUsageLists = 4

// quotaState is the part's state of them.
type quotaState struct {
	*QuotaConfig
	holder  *quota.Holder
	grantor *quota.Grantor // nil where this process does not lead
}

// ReportUsage takes what the serving loop used, from any goroutine.
func (f *Node) ReportUsage(list []Usage) {
	select {
	case f.usage <- list:
	default:
	}
}

func (f *Agent) beginBudgets(now float64) {
	if f.Quotas == nil {
		return
	}
	f.quotas = &quotaState{QuotaConfig: f.Config.Quotas, holder: quota.NewHolder(f.incarnation, f.Config.Quotas.Settings(), now)}
	f.tellBudgets()
}

// ObserveUsage takes what the loop used.
func (f *Agent) ObserveUsage(now float64, list []Usage) {
	if b := f.quotas; b != nil {
		for _, u := range list {
			b.holder.RecordUsage(now, u.Name, u.Demand, u.Open, u.Answer)
		}
	}
}

// heedBudgets goes over to the terms of the version on which the server acts now.
func (f *Agent) heedBudgets(now float64) {
	if b := f.quotas; b != nil {
		terms := b.Settings()
		b.holder.ApplyConfig(terms, now)
		if b.grantor != nil {
			b.grantor.ApplyConfig(terms)
		}
	}
}

// leadBudgets begins and ends with the leader's ledger.
func (f *Agent) leadBudgets(now float64) {
	b := f.quotas
	switch {
	case b == nil:
	case f.leaseTable == nil:
		b.grantor = nil
	case b.grantor == nil:
		b.grantor = quota.NewGrantor(b.Settings(), f.random.Uint64()|1, now)
	}
}

func (f *Agent) dueBudgets(now float64) {
	b := f.quotas
	if b == nil {
		return
	}
	if b.holder.NextWakeup() <= now {
		name := f.leaseHolder.Leader()
		if q := b.holder.NextRequest(now); q != nil && name == f.Name {
			f.takeBudgets(now, &wire.Envelope{QuotaRequest: q, From: f.Name, Incarnation: f.incarnation})
		} else if q != nil && f.Voters[name] != "" {
			f.send(f.Voters[name], &wire.Envelope{QuotaRequest: q})
		}
	}
	f.tellBudgets()
}

func (f *Agent) tellBudgets() {
	if list := f.quotas.holder.TakeChanges(); list != nil {
		f.quotas.OnAllowances(list)
	}
}

func (f *Agent) nextBudgets() float64 {
	if f.quotas == nil {
		return math.Inf(1)
	}
	return f.quotas.holder.NextWakeup()
}

// takeBudgets answers a server's question, or takes an answer in. Only who holds its name has parts: others have the floor at most.
func (f *Agent) takeBudgets(now float64, m *wire.Envelope) {
	b := f.quotas
	switch {
	case b == nil:
	case m.QuotaReply != nil:
		b.holder.HandleReply(now, m.QuotaReply)
	case b.grantor != nil && f.releaseLog.Members[m.From] == m.Incarnation:
		a := b.grantor.HandleRequest(now, m.QuotaRequest, f.confirmed(now))
		if a == nil {
			return
		}
		if m.From == f.Name && m.Incarnation == f.incarnation {
			b.holder.HandleReply(now, a)
			return
		}
		f.reply(m, &wire.Envelope{QuotaReply: a})
	}
}

// QuotaStatus is how budgets stand.
type QuotaStatus struct {
	Now      float64 // of the fleet's clock here
	Leader   string
	IsLeader bool                `json:"Leads"`
	Held     []quota.Allowance   `json:"Here,omitempty"` // where a part is held, by the fleet's clock
	Granted  []quota.LimitStatus `json:",omitempty"`     // at the voter that leads
	Epoch    release.Epoch
}

// maxQuotasListed bounds what operators are shown.
const maxQuotasListed = 1000

// QueryQuotas tells how budgets stand here.
func (f *Node) QueryQuotas() (*QuotaStatus, error) {
	done := make(chan *QuotaStatus, 1)
	err := f.call(func(now float64) {
		s := &QuotaStatus{Now: now, Leader: f.leaseHolder.Leader(), Epoch: f.active.Epoch}
		if b := f.quotas; b != nil {
			for _, a := range b.holder.ActiveLeases(now) {
				if len(s.Held) < maxQuotasListed {
					s.Held = append(s.Held, a)
				}
			}
			if s.IsLeader = b.grantor != nil && f.confirmed(now); s.IsLeader {
				s.Granted = b.grantor.Status(now, maxQuotasListed)
			}
		}
		done <- s
	})
	if err != nil {
		return nil, err
	}
	select {
	case s := <-done:
		return s, nil
	case <-time.After(2 * time.Second):
		return nil, errors.New("the fleet's part of this server is down")
	}
}
