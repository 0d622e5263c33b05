package fleet

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"swiftcourse/internal/policy/release"
)

// Limits of the control API. The API has no authentication and is meant to listen on a loopback
// address.
const (
	controlTimeout        = 20 * time.Second
	controlHeaderTimeout  = 2 * time.Second
	maxControlHeaderBytes = 1 << 10 // net/http adds 4 KiB
	maxCommandBytes       = 128 << 10
	// controlMemoryDivisor is the divisor of the memory limit that bounds the control API's connections.
	controlMemoryDivisor = 16
	// controlConnBytes is the memory of a connection whose request has a header of very many short
	// fields, or a body of maxCommandBytes.
	controlConnBytes = 256 << 10
	minControlConns  = 4
	// controlConnsPerRequest is how many connections may be open for each request that is served at a
	// time.
	controlConnsPerRequest = 2
)

// maxControlConns returns how many connections of the control API may be open.
func (c *Config) maxControlConns() int {
	return max(minControlConns, int(c.memoryBytes()/controlMemoryDivisor/controlConnBytes))
}

// Paths of the control API.
const (
	statusPath   = "/state"
	quotasPath   = "/budgets"
	countersPath = "/counts"
	loadPlanPath = "/plans"
	commandPath  = "/command"
)

// controlServer serves the control API: operators' requests, with JSON over HTTP.
type controlServer struct {
	node *Node
	// slots is a semaphore with one entry for each request being served. Those that wait for one get it
	// in the order in which they came.
	slots chan struct{}
}

// commandResponse is the response to POST /command.
type commandResponse struct {
	Newest release.Epoch `json:"newest"`
}

// errorResponse is the response to a failed request.
type errorResponse struct {
	Error string `json:"error"`
}

// ServeControl starts to serve the control API on addr, and stops when the context is done. The API
// consists of GET /state?since=EPOCH, /budgets, /counts and /plans, and POST /command. The response
// to a failed request has status 409 and an errorResponse as its body.
func (n *Node) ServeControl(ctx context.Context, addr string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	maxConns := n.config.maxControlConns()
	limiter := &connLimiter{maxConns: maxConns}
	control := &controlServer{node: n, slots: make(chan struct{}, maxConns/controlConnsPerRequest)}
	server := &http.Server{
		Handler:           control.limit(control.routes()),
		ReadHeaderTimeout: controlHeaderTimeout,
		ReadTimeout:       controlTimeout,
		WriteTimeout:      controlTimeout,
		MaxHeaderBytes:    maxControlHeaderBytes,
		ConnContext:       withLimitedConn,
		ErrorLog:          log.New(io.Discard, "", 0), // clients could fill the log
	}
	server.SetKeepAlivesEnabled(false) // a client that sends many requests waits its turn for each
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(&limitedListener{listener, limiter}) }()
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

// queryHandler returns a handler that responds with the result of query.
func queryHandler[T any](query func() (T, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		status, err := query()
		respondJSON(w, status, err)
	}
}

// limit makes a request wait while too many others are being served. While it is served, its connection is
// not closed for another one.
func (c *controlServer) limit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case c.slots <- struct{}{}:
		case <-r.Context().Done(): // the connection was closed
			return
		case <-time.After(controlTimeout):
			respondJSON(w, nil, ErrTooManyRequests)
			return
		}
		defer func() { <-c.slots }()
		if conn, ok := r.Context().Value(limitedConnKey{}).(*limitedConn); ok {
			conn.setInUse(true)
			defer conn.setInUse(false)
		}
		next.ServeHTTP(w, r)
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
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCommandBytes)).Decode(&command); err != nil {
		respondJSON(w, nil, err)
		return
	}
	newest, err := c.node.ExecuteCommand(command)
	respondJSON(w, commandResponse{Newest: newest}, err)
}

// respondJSON writes the body as JSON, or an errorResponse if err is not nil.
func respondJSON(w http.ResponseWriter, body any, err error) {
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		w.WriteHeader(http.StatusConflict)
		body = errorResponse{Error: err.Error()}
	}
	_ = json.NewEncoder(w).Encode(body) // fails only if the client has disconnected
}
