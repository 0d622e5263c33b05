package fleet

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"swiftcourse/internal/policy/release"
)

// Bounds of the control API. It has no authentication, and is meant to listen on a loopback address.
const (
	controlTimeout     = 20 * time.Second
	maxControlHeader   = 8 << 10   // bytes
	maxCommand         = 128 << 10 // bytes of a command
	maxControlRequests = 8         // at a time
)

// Paths of the control API.
const (
	statusPath   = "/state"
	quotasPath   = "/budgets"
	countersPath = "/counts"
	loadPlanPath = "/plans"
	commandPath  = "/command"
)

// controlServer answers operators' requests, as JSON over HTTP.
type controlServer struct {
	node  *Node
	slots chan struct{} // one entry for each request that is being served
}

// commandResponse answers POST /command.
type commandResponse struct {
	Newest release.Epoch `json:"newest"`
}

// errorResponse answers a request that failed.
type errorResponse struct {
	Error string `json:"error"`
}

// ServeControl starts to answer operators' requests, until the context is done: GET
// /state?since=EPOCH, /budgets, /counts and /plans, and POST /command. A request that fails has
// status 409 and an errorResponse.
func (n *Node) ServeControl(ctx context.Context, addr string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	control := &controlServer{node: n, slots: make(chan struct{}, maxControlRequests)}
	server := &http.Server{
		Handler:        control.limit(control.routes()),
		ReadTimeout:    controlTimeout,
		WriteTimeout:   controlTimeout,
		MaxHeaderBytes: maxControlHeader,
	}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return nil
}

func (c *controlServer) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+statusPath, c.status)
	mux.HandleFunc("GET "+quotasPath, queryHandler(c.node.QueryQuotas))
	mux.HandleFunc("GET "+countersPath, queryHandler(c.node.QueryCounters))
	mux.HandleFunc("GET "+loadPlanPath, queryHandler(c.node.QueryLoadPlan))
	mux.HandleFunc("POST "+commandPath, c.command)
	return mux
}

// queryHandler responds with the result of a query that has no parameters.
func queryHandler[T any](query func() (T, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		status, err := query()
		respondJSON(w, status, err)
	}
}

// limit rejects requests beyond maxControlRequests at a time.
func (c *controlServer) limit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case c.slots <- struct{}{}:
			defer func() { <-c.slots }()
			next.ServeHTTP(w, r)
		default:
			respondJSON(w, nil, ErrTooManyRequests)
		}
	})
}

func (c *controlServer) status(w http.ResponseWriter, r *http.Request) {
	var since release.Epoch
	if text := r.URL.Query().Get("since"); text != "" {
		epoch, err := release.ParseEpoch(text)
		if err != nil {
			respondJSON(w, nil, err)
			return
		}
		since = epoch
	}
	status, err := c.node.QueryStatus(since)
	respondJSON(w, status, err)
}

func (c *controlServer) command(w http.ResponseWriter, r *http.Request) {
	var command release.Command
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCommand)).Decode(&command); err != nil {
		respondJSON(w, nil, err)
		return
	}
	newest, err := c.node.ExecuteCommand(command)
	respondJSON(w, commandResponse{Newest: newest}, err)
}

// respondJSON writes a body, or an error if there is one.
func respondJSON(w http.ResponseWriter, body any, err error) {
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		w.WriteHeader(http.StatusConflict)
		body = errorResponse{Error: err.Error()}
	}
	_ = json.NewEncoder(w).Encode(body) // the client is gone where this fails
}
