// Package executor stands in for the processor: it runs tasks on a number of cores that it only pretends to have,
// first come first run, and speaks the protocol as its page describes it, links that break included.
package executor

import (
	"bufio"
	"bytes"
	"net"
	"sync"
	"time"

	"swiftcourse/admission"
	"swiftcourse/internal/wire/processor"
)

// Config is what a processor does. What is nil is not done.
type Config struct {
	Cores         int                               // runs at a time; 1 where it is 0
	CPUSeconds    func(stage, id string) float64    // seconds of a core that a run takes
	CallsUpstream func(stage, id string) bool       // it makes a call when half of that is done
	Gauges        func(busy, waiting int) []float64 // in the order of the settings
	ColdStart     bool
	CallTimeout   float64                             // seconds for which a run waits for its call: its task is over then, as it is with its caller's wait; 0 for ever
	OnStart       func(id string, body []byte)        // told of each run as it begins
	Result        func(id string, body []byte) []byte // what a run comes to; nil gives its body back
}

// Stats is what a processor did so far.
type Stats struct {
	Started, Ended, Calls, Links int
	Repeated                     int // runs of an id that had ended before: an effect that came twice
}

// Server is a running stand-in.
type Server struct {
	plan     Config
	listener net.Listener
	started  time.Time

	mu      sync.Mutex
	counts  Stats
	link    net.Conn
	out     []byte
	flushes bool // a goroutine is about to write out
	serial  int64
	notices []notice // the latest, in order
	runs    map[string]*run
	over    map[string]bool
	waiting []*run
	busy    int
}

type notice struct {
	serial int64
	line   []byte
}

// run is a task that was begun. Its parts are one before its call and one after it, or one alone.
type run struct {
	id, stage string
	body      []byte
	part      float64 // seconds of each part
	parts     int     // that are left
	asked     int64   // notice of its call, 0 where it waits for none
	began     time.Time
}

const (
	maxNotices = 4000    // kept, by the page
	maxOver    = 1 << 20 // ids remembered for Twice
)

// Start listens on an address of loopback.
func Start(addr string, plan Config) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	plan.Cores = max(1, plan.Cores)
	p := &Server{plan: plan, listener: l, started: time.Now(), runs: map[string]*run{}, over: map[string]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

// Addr is where it listens.
func (p *Server) Addr() string { return p.listener.Addr().String() }

// Stats tells what it did.
func (p *Server) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Close ends it; runs are forgotten.
func (p *Server) Close() {
	_ = p.listener.Close()
	p.Disconnect()
}

// Disconnect breaks the link; runs go on.
func (p *Server) Disconnect() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link != nil {
		_ = p.link.Close()
		p.link = nil
	}
}

func (p *Server) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReaderSize(c, 64<<10)
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return
		}
		command, err := processor.ParseCommand(bytes.TrimSuffix(line, []byte("\n")))
		if err != nil {
			return // it closes a link on which something else comes
		}
		p.mu.Lock()
		if command.Kind == processor.CommandResume {
			p.resume(c, command.Serial)
		} else if p.link == c {
			p.carryOut(&command)
		}
		p.mu.Unlock()
	}
}

// resume has a new link take the place of the one before.
func (p *Server) resume(c net.Conn, read int64) {
	if p.link != nil && p.link != c {
		_ = p.link.Close()
	}
	p.counts.Links++
	p.link, p.out = c, nil
	p.write(processor.AppendHello(nil, p.plan.ColdStart, time.Since(p.started).Seconds()))
	for _, n := range p.notices {
		if n.serial > read {
			p.write(n.line)
		}
	}
}

func (p *Server) carryOut(c *processor.Command) {
	r := p.runs[c.ID]
	switch c.Kind {
	case processor.CommandStart:
		if r != nil {
			return // it runs already
		}
		p.counts.Started++
		if p.over[c.ID] {
			p.counts.Repeated++
		}
		r = &run{id: c.ID, stage: c.Class, body: c.Body, parts: 1, began: time.Now()}
		if p.plan.CPUSeconds != nil {
			r.part = p.plan.CPUSeconds(c.Class, c.ID)
		}
		if p.plan.CallsUpstream != nil && p.plan.CallsUpstream(c.Class, c.ID) {
			r.parts, r.part = 2, r.part/2
		}
		p.runs[c.ID] = r
		if p.plan.OnStart != nil {
			p.plan.OnStart(c.ID, c.Body)
		}
		p.queue(r)
	case processor.CommandReply, processor.CommandSkipCall:
		if r == nil || r.asked == 0 || c.Kind == processor.CommandSkipCall && c.Serial != r.asked {
			p.write(processor.AppendRejected(nil, c.Kind, c.ID))
			return
		}
		r.asked = 0
		p.queue(r)
	case processor.CommandReadGauges:
		var g []float64
		if p.plan.Gauges != nil {
			g = p.plan.Gauges(p.busy, len(p.waiting))
		}
		p.write(processor.AppendGauges(nil, c.Tag, g))
	}
}

// queue has a part of a run wait for a core.
func (p *Server) queue(r *run) {
	p.waiting = append(p.waiting, r)
	p.next()
}

func (p *Server) next() {
	for len(p.waiting) > 0 && p.busy < p.plan.Cores {
		r := p.waiting[0]
		p.waiting = p.waiting[1:]
		if r.part <= 0 {
			p.done(r)
			continue
		}
		p.busy++
		time.AfterFunc(time.Duration(r.part*float64(time.Second)), func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.busy--
			p.done(r)
			p.next()
		})
	}
}

// done ends a part of a run.
func (p *Server) done(r *run) {
	if r.parts--; r.parts > 0 {
		p.counts.Calls++
		p.notify(func(b []byte, serial int64) []byte {
			r.asked = serial
			return processor.AppendAwaitingCall(b, serial, r.id, r.body)
		})
		if asked := r.asked; p.plan.CallTimeout > 0 {
			time.AfterFunc(time.Duration(p.plan.CallTimeout*float64(time.Second)), func() {
				p.mu.Lock()
				defer p.mu.Unlock()
				if p.runs[r.id] == r && r.asked == asked {
					p.end(r)
					p.notify(func(b []byte, serial int64) []byte {
						return processor.AppendRunEnded(b, processor.Notice{
							Serial:   serial,
							ID:       r.id,
							Outcome:  admission.Cancelled,
							Duration: time.Since(r.began).Seconds(),
						})
					})
				}
			})
		}
		return
	}
	p.end(r)
	if p.plan.Result != nil {
		r.body = p.plan.Result(r.id, r.body)
	}
	p.notify(func(b []byte, serial int64) []byte {
		return processor.AppendRunEnded(b, processor.Notice{
			Serial:   serial,
			ID:       r.id,
			Outcome:  admission.Finished,
			Duration: time.Since(r.began).Seconds(),
			Body:     r.body,
		})
	})
}

func (p *Server) end(r *run) {
	p.counts.Ended++
	delete(p.runs, r.id)
	if len(p.over) >= maxOver {
		clear(p.over)
	}
	p.over[r.id] = true
}

func (p *Server) notify(put func(b []byte, serial int64) []byte) {
	p.serial++
	line := put(nil, p.serial)
	if len(p.notices) >= 2*maxNotices {
		p.notices = append([]notice(nil), p.notices[maxNotices:]...)
	}
	p.notices = append(p.notices, notice{p.serial, line})
	p.write(line)
}

// write has a goroutine of its own write, as the lock is held here; what comes meanwhile goes with it.
func (p *Server) write(line []byte) {
	if p.link == nil {
		return
	}
	p.out = append(p.out, line...)
	if p.flushes {
		return
	}
	p.flushes = true
	go func() {
		for {
			p.mu.Lock()
			out, c := p.out, p.link
			p.out = nil
			if p.flushes = len(out) > 0 && c != nil; !p.flushes {
				p.mu.Unlock()
				return
			}
			p.mu.Unlock()
			_, _ = c.Write(out) // a link that broke is resumed by the server, which asks for all of this again
		}
	}()
}
