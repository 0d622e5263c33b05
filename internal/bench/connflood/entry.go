// Package connflood measures how known clients fare at a server's door while strangers take every descriptor.
package connflood

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"swiftcourse/internal/bench/process"
	"swiftcourse/internal/fake/executor"
	"swiftcourse/internal/wire/rpc"
	"swiftcourse/internal/wire/simulator"
)

// Plan is the experiment.
type Plan struct {
	Program           string
	UntrustedRate     float64 // that arrive a second, each from an address of its own, as far as those of loopback go
	Trusted           int     // clients that did tasks before the strangers came
	Seconds           float64
	Descriptors       int // descriptors that the server is told
	ActualDescriptors int // and that it really has; 0 for as many
	CPU               int
	Progress          io.Writer
	Log               io.Writer // the server's, nil for none
}

// Row is how they fared with the door on, or off.
type Row struct {
	ConnLimit    string  `json:"door"`
	Trusted      int     `json:"known"`
	Attempts     int     `json:"known_tries"`
	P50          float64 `json:"known_connect_p50_ms"` // from the dial to the answer of the first task
	Max          float64 `json:"known_connect_max_ms"`
	Failed       int     `json:"known_failed"` // no answer within a second, or another than finished
	LostRequests int     `json:"open_tasks_lost"`
	Untrusted    int     `json:"strangers"`
	Answered     float64 `json:"strangers_answered_share"` // had an answer, whatever it said
	Alive        bool    `json:"alive"`
	CPU          float64 `json:"cpu_share"`
	Resident     float64 `json:"rss_max_bytes"`
}

// Columns and Cells are those of the table.
var Columns = []string{"door", "known", "tries", "p50 ms", "max ms", "failed", "tasks lost", "strangers", "answered", "alive", "cpu", "rss MB"}

// Cells are a row's in the table.
func (r Row) Cells() []string {
	return strings.Fields(fmt.Sprintf("%s %d %d %.2f %.1f %d %d %d %.3f %t %.3f %.1f", r.ConnLimit, r.Trusted, r.Attempts, r.P50, r.Max, r.Failed, r.LostRequests, r.Untrusted,
		r.Answered, r.Alive, r.CPU, r.Resident/(1<<20)))
}

// Validate finds numbers that can't be.
func (p *Plan) Validate() error {
	switch {
	case p.UntrustedRate < 0 || p.UntrustedRate > 50_000:
		return fmt.Errorf("--strangers %g: from 0 to 50000 a second", p.UntrustedRate)
	case p.Trusted < 1 || p.Trusted > 200:
		return fmt.Errorf("--known %d: from 1 to 200", p.Trusted)
	case p.Seconds < 2 || p.Seconds > 120:
		return fmt.Errorf("--seconds %g: from 2 to 120", p.Seconds)
	case p.Descriptors < 64 || p.Descriptors > 20_000:
		return fmt.Errorf("--sockets %d: from 64 to 20000", p.Descriptors)
	case p.ActualDescriptors != 0 && p.ActualDescriptors < 48:
		return fmt.Errorf("--real %d: 48 at least, or 0", p.ActualDescriptors)
	}
	return nil
}

// Run measures with the door off, and on.
func Run(ctx context.Context, p *Plan) (rows []Row, err error) {
	for _, door := range []string{"off", "on"} {
		row, err := p.row(ctx, door)
		if err != nil {
			return rows, fmt.Errorf("with the door %s: %w", door, err)
		}
		rows = append(rows, row)
	}
	return rows, nil
}

const (
	// patience is how long a known client waits for its connection and the answer to its first task.
	patience = time.Second
	// tasks take so long, in seconds, so that some are open at each moment.
	work = 0.02
	// earnFor is how long the known ones do tasks before the strangers come: longer than the three seconds by which being known is earned.
	earnFor = 4500 * time.Millisecond
	// strangerStays is for how long a stranger holds its connection after its health check.
	strangerStays = 2 * time.Second
	// maxHeld bounds the strangers that hold connections, as this process has descriptors too.
	maxHeld = 8000
)

func settings() simulator.Settings {
	var t simulator.Settings
	t.Servers = 1
	t.Classes = []simulator.Class{{Name: "ping", Idempotency: "idempotent", TimeoutMs: 2000, SoftDeadlineMs: 1000, Value: 1, LateValue: 0.5}}
	t.Capabilities.RetryAfter, t.Capabilities.MaxRetryAfterMs = true, 5000
	t.Contract.ConcurrencyPerCore, t.Contract.ConcurrencyWindowMs, t.Contract.DrainGraceMs, t.Contract.DeadlineToleranceMs = 8, 1000, 500, 50
	own := &t.Deployment
	own.Cores, own.MemoryLimitKb, own.RunningFactor, own.Clients, own.DeadlinePropagation = 4, 1e6, 1, 1, true
	own.Gauges, own.IdleTimeoutMs = []string{"cpu_busy", "runnable"}, 60_000
	return t
}

func (p *Plan) row(ctx context.Context, door string) (row Row, err error) {
	servers, err := process.Start(ctx, 1, process.Config{Program: p.Program, CPU: p.CPU, Cores: 1, MemoryMB: 64, Descriptors: p.Descriptors, ActualDescriptors: p.ActualDescriptors,
		StopTimeout: 3 * time.Second, Settings: settings(), OperatorFile: "door " + door + "\n", Log: p.Log,
		Executor: executor.Config{Cores: 4, CPUSeconds: func(string, string) float64 { return work },
			Gauges: func(busy, _ int) []float64 { return []float64{float64(busy) / 4, float64(busy)} }}})
	if err != nil {
		return row, err
	}
	defer process.CloseAll(servers)
	s := servers[0]
	row = Row{ConnLimit: door, Trusted: p.Trusted}
	ctx, stop := context.WithCancel(ctx)
	defer stop()

	fmt.Fprintf(p.Progress, "door %s: %d clients become known\n", door, p.Trusted)
	clients, err := p.earn(ctx, s.Addr, earnFor)
	if err != nil {
		return row, err
	}
	open := clients[:max(1, len(clients)/4)] // these keep theirs, and always have a task open
	others := clients[len(open):]
	for _, c := range others {
		c.close()
	}

	fmt.Fprintf(p.Progress, "door %s: %g strangers a second for %g s\n", door, p.UntrustedRate, p.Seconds)
	used, err := s.CPUSeconds()
	if err != nil {
		return row, err
	}
	from, end := time.Now(), time.Now().Add(time.Duration(p.Seconds*float64(time.Second)))
	strangers := &strangers{addr: s.Addr, end: end, slots: make(chan struct{}, maxHeld)}
	var wait sync.WaitGroup
	wait.Add(1)
	go func() {
		defer wait.Done()
		strangers.run(ctx, p.UntrustedRate)
	}()
	var lost atomic.Int64
	for _, c := range open {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for time.Now().Before(end) && ctx.Err() == nil {
				if c.task(5*time.Second) != nil { // no answer at all
					lost.Add(1)
					return
				}
			}
		}()
	}
	time.Sleep(500 * time.Millisecond) // until the strangers have all that there is
	wait.Go(func() {
		for time.Now().Before(end) && ctx.Err() == nil {
			time.Sleep(100 * time.Millisecond)
			if resident, err := s.ResidentBytes(); err == nil { // a server that is gone has none
				row.Resident = max(row.Resident, float64(resident))
			}
		}
		after, err := s.CPUSeconds()
		if row.Alive = err == nil && s.Alive(); row.Alive {
			row.CPU = (after - used) / time.Since(from).Seconds()
		}
	})
	var took []float64
	row.Attempts, row.Failed, took = tries(ctx, others, end, &wait)
	stop()
	slices.Sort(took)
	if len(took) > 0 {
		row.P50, row.Max = took[len(took)/2], took[len(took)-1]
	}
	row.LostRequests, row.Untrusted = int(lost.Load()), int(strangers.came.Load())
	row.Answered = math.Round(1000*float64(strangers.answered.Load())/float64(max(1, row.Untrusted))) / 1000
	return row, nil
}

// earn connects the known clients, each from an address of its own, and has them do tasks for so long.
func (p *Plan) earn(ctx context.Context, addr string, length time.Duration) (clients []*client, err error) {
	for i := range p.Trusted {
		c := &client{addr: addr, from: net.IPv4(127, 20, byte(i>>8), byte(i%250+1)), number: i}
		if err := c.dial(ctx); err != nil {
			return nil, err
		}
		clients = append(clients, c)
	}
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		var wait sync.WaitGroup
		for _, c := range clients {
			wait.Go(func() { _ = c.task(patience) }) // what is not finished earns nothing
		}
		wait.Wait()
	}
	return clients, nil
}

// tries has clients come again and again for one task each, until the end, and waits for all others too. It tells how many tries there were, how many
// failed, and how long the others took, in milliseconds.
func tries(ctx context.Context, clients []*client, end time.Time, others *sync.WaitGroup) (n, failed int, took []float64) {
	var mu sync.Mutex
	for _, c := range clients {
		others.Go(func() {
			for time.Now().Before(end) && ctx.Err() == nil {
				began := time.Now()
				err := c.dial(ctx)
				if err == nil {
					err = c.task(patience - time.Since(began))
				}
				c.close()
				mu.Lock()
				n++
				if err != nil {
					failed++
				} else {
					took = append(took, time.Since(began).Seconds()*1000)
				}
				mu.Unlock()
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	others.Wait()
	return n, failed, took
}

// client is a known one: an address, and at times a connection.
type client struct {
	addr   string
	from   net.IP
	number int
	conn   net.Conn
	sent   uint64
	ids    int
}

func (c *client) dial(ctx context.Context) (err error) {
	c.sent = 0
	d := net.Dialer{Timeout: patience, LocalAddr: &net.TCPAddr{IP: c.from}}
	c.conn, err = d.DialContext(ctx, "tcp", c.addr)
	return err
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

var errUnfinished = errors.New("answered, and not finished")

// task has one task done. Its error tells that no answer came, or one other than finished.
func (c *client) task(within time.Duration) error {
	if c.conn == nil {
		return net.ErrClosed
	}
	c.sent++
	c.ids++
	_ = c.conn.SetDeadline(time.Now().Add(within))
	if _, err := c.conn.Write(rpc.AppendRequest(nil, &rpc.Message{Number: c.sent, ID: fmt.Sprintf("%04x%012x", c.number, c.ids), Class: "ping",
		ArrivedAt: float64(time.Now().UnixMilli()) / 1000, Timeout: within.Seconds(), Client: c.number, Memory: 1, Priority: 0.5, Body: []byte("x")})); err != nil {
		return err
	}
	a, err := next(c.conn, c.sent)
	if err == nil && a.Kind != rpc.ResponseFinished {
		err = errUnfinished
	}
	return err
}

// next reads up to the answer of a message.
func next(c net.Conn, number uint64) (rpc.Response, error) {
	var held [512]byte
	b := held[:0]
	for len(b) < cap(b) {
		n, err := c.Read(b[len(b):cap(b)])
		if err != nil {
			return rpc.Response{}, err
		}
		b = b[:len(b)+n]
		for {
			a, size, err := rpc.ParseResponse(b)
			if err != nil {
				return a, err
			}
			if size == 0 {
				break
			}
			if a.Number == number && a.Kind != rpc.ResponseGoAway {
				return a, nil
			}
			b = append(held[:0], b[size:]...)
		}
	}
	return rpc.Response{}, errors.New("a message that is too long")
}

// strangers come at a rate, each to ask for the server's health and to stay.
type strangers struct {
	addr           string
	end            time.Time
	slots          chan struct{}
	came, answered atomic.Int64
}

func (s *strangers) run(ctx context.Context, rate float64) {
	from := time.Now()
	var wait sync.WaitGroup
	for n := 0; time.Now().Before(s.end) && ctx.Err() == nil; {
		due := int(time.Since(from).Seconds() * rate)
		for ; n < due; n++ {
			select {
			case s.slots <- struct{}{}:
			default:
				continue // this process holds all that it may: it came to nothing
			}
			ip := net.IPv4(127, byte(30+n>>16&63), byte(n>>8), byte(n%254+1))
			wait.Add(1)
			go func() {
				defer wait.Done()
				s.one(ctx, ip)
				<-s.slots
			}()
		}
		time.Sleep(time.Millisecond)
	}
	wait.Wait()
}

func (s *strangers) one(ctx context.Context, ip net.IP) {
	s.came.Add(1)
	d := net.Dialer{Timeout: patience, LocalAddr: &net.TCPAddr{IP: ip}}
	c, err := d.DialContext(ctx, "tcp", s.addr)
	if err != nil {
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(strangerStays))
	if _, err := c.Write(rpc.AppendHealthCheck(nil, 1)); err != nil {
		return
	}
	if _, err := next(c, 1); err != nil {
		return
	}
	s.answered.Add(1)
	_, _ = c.Read(make([]byte, 64)) // until it is closed, or its stay is over
}
