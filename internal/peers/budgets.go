package peers

import (
	"errors"
	"math"
	"time"

	"swiftcourse/internal/judge/shared/budget"
	"swiftcourse/internal/judge/version"
	wire "swiftcourse/internal/wire/fleet"
)

// This file is a process's part in the budgets that all share: what its loop used goes to the holder's judge, questions to the voter that leads, whose
// granter's judge answers, and what may be used back to the loop.

// Budgets is what a process does with them.
type Budgets struct {
	Terms func() budget.Config     // as the version says on which the server acts
	Hear  func([]budget.Allowance) // hands the serving loop what it may use, by the fleet's clock
}

// Use is what the serving loop used of a budget lately.
type Use struct {
	Name         string
	Demand, Open float64
	Answer       uint64 // of the Allowed by which it goes
}

// maxUses lists of them wait for the goroutine; a newer one comes soon.
const maxUses = 4

// budgets is the part's state of them.
type budgets struct {
	*Budgets
	holder  *budget.Holder
	granter *budget.Grantor // nil where this process does not lead
}

// Used takes what the serving loop used, from any goroutine.
func (f *Peers) Used(list []Use) {
	select {
	case f.uses <- list:
	default:
	}
}

func (f *Part) beginBudgets(now float64) {
	if f.Budgets == nil {
		return
	}
	f.budgets = &budgets{Budgets: f.Plan.Budgets, holder: budget.NewHolder(f.life, f.Plan.Budgets.Terms(), now)}
	f.tellBudgets()
}

// HeedUses takes what the loop used.
func (f *Part) HeedUses(now float64, list []Use) {
	if b := f.budgets; b != nil {
		for _, u := range list {
			b.holder.RecordUsage(now, u.Name, u.Demand, u.Open, u.Answer)
		}
	}
}

// heedBudgets goes over to the terms of the version on which the server acts now.
func (f *Part) heedBudgets(now float64) {
	if b := f.budgets; b != nil {
		terms := b.Terms()
		b.holder.ApplyConfig(terms, now)
		if b.granter != nil {
			b.granter.ApplyConfig(terms)
		}
	}
}

// leadBudgets begins and ends with the leader's ledger.
func (f *Part) leadBudgets(now float64) {
	b := f.budgets
	switch {
	case b == nil:
	case f.ledger == nil:
		b.granter = nil
	case b.granter == nil:
		b.granter = budget.NewGrantor(b.Terms(), f.chance.Uint64()|1, now)
	}
}

func (f *Part) dueBudgets(now float64) {
	b := f.budgets
	if b == nil {
		return
	}
	if b.holder.NextWakeup() <= now {
		name := f.self.Leader()
		if q := b.holder.NextRequest(now); q != nil && name == f.Name {
			f.takeBudgets(now, &wire.Message{Wishes: q, From: f.Name, Life: f.life})
		} else if q != nil && f.Voters[name] != "" {
			f.send(f.Voters[name], &wire.Message{Wishes: q})
		}
	}
	f.tellBudgets()
}

func (f *Part) tellBudgets() {
	if list := f.budgets.holder.TakeChanges(); list != nil {
		f.budgets.Hear(list)
	}
}

func (f *Part) nextBudgets() float64 {
	if f.budgets == nil {
		return math.Inf(1)
	}
	return f.budgets.holder.NextWakeup()
}

// takeBudgets answers a server's question, or takes an answer in. Only who holds its name has parts: others have the floor at most.
func (f *Part) takeBudgets(now float64, m *wire.Message) {
	b := f.budgets
	switch {
	case b == nil:
	case m.Grants != nil:
		b.holder.HandleReply(now, m.Grants)
	case b.granter != nil && f.order.Members[m.From] == m.Life:
		a := b.granter.HandleRequest(now, m.Wishes, f.confirmed(now))
		if a == nil {
			return
		}
		if m.From == f.Name && m.Life == f.life {
			b.holder.HandleReply(now, a)
			return
		}
		f.reply(m, &wire.Message{Grants: a})
	}
}

// BudgetState is how budgets stand.
type BudgetState struct {
	Now     float64 // of the fleet's clock here
	Leader  string
	Leads   bool                 `json:"Leads"`
	Here    []budget.Allowance   `json:"Here,omitempty"` // where a part is held, by the fleet's clock
	Granted []budget.LimitStatus `json:",omitempty"`     // at the voter that leads
	Epoch   version.Epoch
}

// maxBudgetsTold bounds what operators are shown.
const maxBudgetsTold = 1000

// BudgetState tells how budgets stand here.
func (f *Peers) BudgetState() (*BudgetState, error) {
	done := make(chan *BudgetState, 1)
	err := f.do(func(now float64) {
		s := &BudgetState{Now: now, Leader: f.self.Leader(), Epoch: f.acts.Epoch}
		if b := f.budgets; b != nil {
			for _, a := range b.holder.ActiveLeases(now) {
				if len(s.Here) < maxBudgetsTold {
					s.Here = append(s.Here, a)
				}
			}
			if s.Leads = b.granter != nil && f.confirmed(now); s.Leads {
				s.Granted = b.granter.Status(now, maxBudgetsTold)
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
