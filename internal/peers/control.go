package peers

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"swiftcourse/internal/judge/audit"
	"swiftcourse/internal/judge/member"
	"swiftcourse/internal/judge/replica"
	"swiftcourse/internal/judge/version"
)

// State is what a server says to an operator who asks.
type State struct {
	Name      string
	Life      uint64        `json:"Life"`
	Standing  string        `json:"Standing"`
	Why       string        `json:"Why"`
	Acts      version.Epoch `json:"Acts"`
	Right     version.Epoch `json:"Right"`
	Leader    string
	MayLeave  bool                       `json:"MayLeave"` // should it hear nothing, see fleet-silent
	Lost      uint64                     `json:"Lost"`     // messages without room, or that could not be read
	Order     *version.Log               `json:"Order"`
	Standings []member.ServerStatus      `json:"Standings"`
	Report    audit.Report               `json:"Report"`
	Copies    map[string]*replica.Status `json:"Copies"` // of all servers that keep or claim any and answered
}

// State gathers what the fleet knows.
func (f *Peers) State(since version.Epoch) (*State, error) {
	report, g, err := f.Audit(since)
	if err != nil {
		return nil, err
	}
	s := &State{Name: f.Name, Lost: f.lost.Load(), Order: g.order, Standings: g.standing, Report: report, Copies: g.copies}
	done := make(chan struct{})
	if err := f.do(func(float64) {
		state, _, why := f.self.State()
		s.Life, s.Standing, s.Why, s.Acts, s.Right, s.Leader, s.MayLeave = f.life, state.String(), why, f.acts.Epoch, f.self.AssignedEpoch(), f.self.Leader(), f.self.MayGoOutOfService()
		close(done)
	}); err != nil {
		return nil, err
	}
	select {
	case <-done:
		return s, nil
	case <-time.After(2 * time.Second):
		return nil, errors.New("the fleet's part of this server is down")
	}
}

// Times and sizes of the operators' door. It has no sign-in: it listens where the operator says, which is meant to be the machine itself.
const (
	controlTimeout = 20 * time.Second
	maxControl     = 128 << 10 // bytes of a command
	maxControls    = 8         // requests at a time
)

// Control answers operators' requests, as JSON over HTTP: GET /state?since=EPOCH, GET /budgets, GET /counts, GET /plans, POST /command.
func (f *Peers) Control(addr string) (stop func(), err error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	places := make(chan struct{}, maxControls)
	answer := func(w http.ResponseWriter, what any, err error) {
		w.Header().Set("Content-Type", "application/json")
		if err != nil {
			w.WriteHeader(http.StatusConflict)
			what = map[string]string{"error": err.Error()}
		}
		_ = json.NewEncoder(w).Encode(what) // who asked is gone where this fails
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, r *http.Request) {
		var since version.Epoch
		if text := r.URL.Query().Get("since"); text != "" {
			var err error
			if since, err = version.ParseEpoch(text); err != nil {
				answer(w, nil, err)
				return
			}
		}
		s, err := f.State(since)
		answer(w, s, err)
	})
	mux.HandleFunc("GET /budgets", func(w http.ResponseWriter, _ *http.Request) {
		s, err := f.BudgetState()
		answer(w, s, err)
	})
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		s, err := f.CountsState()
		answer(w, s, err)
	})
	mux.HandleFunc("GET /plans", func(w http.ResponseWriter, _ *http.Request) {
		s, err := f.PlanState()
		answer(w, s, err)
	})
	mux.HandleFunc("POST /command", func(w http.ResponseWriter, r *http.Request) {
		var c version.Command
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControl)).Decode(&c); err != nil {
			answer(w, nil, err)
			return
		}
		newest, err := f.Command(c)
		answer(w, map[string]version.Epoch{"newest": newest}, err)
	})
	server := &http.Server{ReadTimeout: controlTimeout, WriteTimeout: controlTimeout, MaxHeaderBytes: 8 << 10,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case places <- struct{}{}:
				defer func() { <-places }()
				mux.ServeHTTP(w, r)
			default:
				answer(w, nil, errors.New("too many ask at once"))
			}
		})}
	go func() { _ = server.Serve(l) }()
	return func() { _ = server.Close() }, nil
}
