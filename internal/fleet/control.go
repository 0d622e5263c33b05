package fleet

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"swiftcourse/internal/policy/audit"
	"swiftcourse/internal/policy/lease"
	"swiftcourse/internal/policy/release"
	"swiftcourse/internal/policy/replication"
)

// Status is what a server says to an operator who asks.
type Status struct {
	Name              string
	Incarnation       uint64        `json:"Life"`
	LeaseState        string        `json:"Standing"`
	Reason            string        `json:"Why"`
	ActiveEpoch       release.Epoch `json:"Acts"`
	AssignedEpoch     release.Epoch `json:"Right"`
	Leader            string
	MayGoOutOfService bool                           `json:"MayLeave"` // should it hear nothing, see fleet-silent
	DroppedMessages   uint64                         `json:"Lost"`     // messages without room, or that could not be read
	ReleaseLog        *release.Log                   `json:"Order"`
	Servers           []lease.ServerStatus           `json:"Standings"`
	Audit             audit.Report                   `json:"Report"`
	Replicas          map[string]*replication.Status `json:"Copies"` // of all servers that keep or claim any and answered
}

// QueryStatus gathers what the fleet knows.
func (f *Node) QueryStatus(since release.Epoch) (*Status, error) {
	report, g, err := f.Audit(since)
	if err != nil {
		return nil, err
	}
	s := &Status{Name: f.Name, DroppedMessages: f.dropped.Load(), ReleaseLog: g.releaseLog, Servers: g.servers, Audit: report, Replicas: g.replicas}
	done := make(chan struct{})
	if err := f.call(func(float64) {
		state, why := f.leaseHolder.State()
		s.Incarnation, s.LeaseState, s.Reason, s.ActiveEpoch, s.AssignedEpoch, s.Leader, s.MayGoOutOfService = f.incarnation, state.String(), why, f.active.Epoch, f.leaseHolder.AssignedEpoch(), f.leaseHolder.Leader(), f.leaseHolder.MayGoOutOfService()
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
	controlTimeout     = 20 * time.Second
	maxCommand         = 128 << 10 // bytes of a command
	maxControlRequests = 8         // requests at a time
)

// ServeControl answers operators' requests, as JSON over HTTP: GET /state?since=EPOCH, GET /budgets, GET /counts, GET /plans, POST /command.
func (f *Node) ServeControl(addr string) (stop func(), err error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	places := make(chan struct{}, maxControlRequests)
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
		var since release.Epoch
		if text := r.URL.Query().Get("since"); text != "" {
			var err error
			if since, err = release.ParseEpoch(text); err != nil {
				answer(w, nil, err)
				return
			}
		}
		s, err := f.QueryStatus(since)
		answer(w, s, err)
	})
	mux.HandleFunc("GET /budgets", func(w http.ResponseWriter, _ *http.Request) {
		s, err := f.QueryQuotas()
		answer(w, s, err)
	})
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		s, err := f.QueryCounters()
		answer(w, s, err)
	})
	mux.HandleFunc("GET /plans", func(w http.ResponseWriter, _ *http.Request) {
		s, err := f.QueryLoadPlan()
		answer(w, s, err)
	})
	mux.HandleFunc("POST /command", func(w http.ResponseWriter, r *http.Request) {
		var c release.Command
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCommand)).Decode(&c); err != nil {
			answer(w, nil, err)
			return
		}
		newest, err := f.ExecuteCommand(c)
		answer(w, map[string]release.Epoch{"newest": newest}, err)
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
