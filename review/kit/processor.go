package kit

import (
	"bufio"
	"encoding/json"
	"net"
	"sync"
	"time"
)

// Processor is a stand-in of the processor of one server, with a number of cores. A run is a row of
// parts of work; between two parts it waits for a call.
type Processor struct {
	Address string
	plan    func(id, class string) []time.Duration
	events  ProcessorEvents
	cores   chan struct{}
	started time.Time

	listeners []net.Listener
	dead      bool
	deaf      bool // what is read is lost, as the link is about to break

	mu      sync.Mutex
	link    *processorLink
	serial  int64
	notices []keptNotice
	runs    map[string]*run
	busy    int
	waiting int
}

// ProcessorEvents are called, with no lock held but that of the run's order, for what is to be
// recorded. Those that return a value may not be nil.
type ProcessorEvents struct {
	Known   func(id, class string, body []byte) bool // the request came to this server, with this body
	Over    func(id string) bool                     // the request was answered or given up
	Begun   func(id, class string)
	Asked   func(id string, call int, body []byte)
	Replied func(id string, call int, blob []byte, without bool)
	Ended   func(id, how string)
	Call    func(id string, call int) []byte // the body of a call
	Result  func(id string) []byte
}

type keptNotice struct {
	serial int64
	line   []byte
}

type run struct {
	id, class string
	parts     []time.Duration
	next      int   // the part that runs, or is next
	asked     int64 // serial of the notice whose call it waits for, 0 for none
	begun     time.Time
}

type processorLink struct {
	conn net.Conn
	out  chan []byte
	done chan struct{}
}

const keptNotices = 4000

// StartProcessor starts a processor.
func StartProcessor(cores int, plan func(id, class string) []time.Duration, events ProcessorEvents) *Processor {
	p := &Processor{
		plan: plan, events: events, cores: make(chan struct{}, cores), started: time.Now().Add(-time.Hour),
		runs: map[string]*run{},
	}
	p.Address = p.Listen("127.0.0.1:0")
	return p
}

// Listen opens one more address of the processor, and returns it.
func (p *Processor) Listen(address string) string {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		Cannot("%v", err)
	}
	p.mu.Lock()
	p.listeners = append(p.listeners, listener)
	p.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return listener.Addr().String()
}

// Kill ends the processor: its runs end without a trace.
func (p *Processor) Kill() {
	p.BreakLink()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dead = true
	for _, listener := range p.listeners {
		_ = listener.Close()
	}
}

// BreakLink closes the link to the server. All that was read from it before has been carried out, and
// the notices that were written before may be lost with it.
func (p *Processor) BreakLink() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link != nil {
		_ = p.link.conn.Close()
	}
}

// BreakLinkAndLose closes the link to the server. The commands that arrive in the time before are
// lost with it.
func (p *Processor) BreakLinkAndLose(before time.Duration) {
	p.mu.Lock()
	p.deaf = true
	p.mu.Unlock()
	time.Sleep(before)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deaf = false
	if p.link != nil {
		_ = p.link.conn.Close()
		p.link = nil
	}
}

// GiveUp ends the run of a request that is over, if it waits for a call. A run that works ends at its
// next call.
func (p *Processor) GiveUp(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.runs[id]; r != nil && r.asked > 0 {
		p.end(r, "aborted", nil)
	}
}

// Open returns the numbers of runs in hand, and of those that wait for a call.
func (p *Processor) Open() (runs, calls int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.runs {
		if r.asked > 0 {
			calls++
		}
	}
	return len(p.runs), calls
}

type command struct {
	Msg, Call, Service, Cookie string
	Serial                     int64
	Blob                       []byte
}

func (p *Processor) serve(conn net.Conn) {
	link := &processorLink{conn: conn, out: make(chan []byte, 1<<16), done: make(chan struct{})}
	defer close(link.done)
	defer conn.Close()
	go func() {
		for {
			select {
			case line := <-link.out:
				if _, err := conn.Write(line); err != nil {
					return
				}
			case <-link.done:
				return
			}
		}
	}()
	in := bufio.NewReaderSize(conn, 1<<16)
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return
		}
		var c command
		if json.Unmarshal(line, &c) != nil || !p.handle(link, &c) {
			return
		}
	}
}

// handle carries out a command. It returns false for what is no command.
func (p *Processor) handle(link *processorLink, c *command) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.Msg == "hello" {
		if p.link != nil && p.link != link {
			_ = p.link.conn.Close()
		}
		p.link = link
		p.send(map[string]any{"msg": "hi", "how": "seasoned", "duration": time.Since(p.started).Milliseconds()})
		for _, n := range p.notices {
			if n.serial > c.Serial {
				p.sendLine(n.line)
			}
		}
		return true
	}
	if p.link != link || p.deaf {
		return true
	}
	switch c.Msg {
	case "begin":
		p.begin(c)
	case "answer":
		if r := p.runs[c.Call]; r != nil && r.asked > 0 {
			p.events.Replied(r.id, r.next, c.Blob, false)
			p.goOn(r)
		}
	case "without":
		if r := p.runs[c.Call]; r != nil && r.asked == c.Serial {
			p.events.Replied(r.id, r.next, nil, true)
			p.goOn(r)
		}
	case "usage":
		p.send(map[string]any{"msg": "used", "cookie": c.Cookie, "stats": []float64{
			float64(p.busy) / float64(cap(p.cores)), float64(p.busy + p.waiting), 0.1, 10,
		}})
	default:
		return false
	}
	return true
}

func (p *Processor) begin(c *command) {
	if p.runs[c.Call] != nil {
		return
	}
	if !p.events.Known(c.Call, c.Service, c.Blob) {
		p.send(map[string]any{"msg": "reject", "how": "begin", "call": c.Call})
		return
	}
	r := &run{id: c.Call, class: c.Service, begun: time.Now()}
	if p.events.Over(c.Call) {
		p.notify(r, map[string]any{"msg": "complete", "how": "stale", "duration": 0})
		return
	}
	r.parts = p.plan(c.Call, c.Service)
	p.runs[r.id] = r
	p.events.Begun(r.id, r.class)
	p.work(r)
}

// work runs the next part of a run on a core.
func (p *Processor) work(r *run) {
	p.waiting++
	part := r.parts[r.next]
	go func() {
		p.cores <- struct{}{}
		p.mu.Lock()
		p.waiting--
		p.busy++
		p.mu.Unlock()
		time.Sleep(part)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.busy--
		<-p.cores
		if p.dead {
			return
		}
		r.next++
		if r.next < len(r.parts) {
			p.ask(r)
			return
		}
		p.end(r, "done", p.events.Result(r.id))
	}()
}

func (p *Processor) ask(r *run) {
	if p.events.Over(r.id) {
		p.end(r, "aborted", nil)
		return
	}
	body := p.events.Call(r.id, r.next)
	p.events.Asked(r.id, r.next, body)
	r.asked = p.serial + 1
	p.notify(r, map[string]any{"msg": "ask", "blob": body})
}

func (p *Processor) goOn(r *run) {
	r.asked = 0
	p.work(r)
}

func (p *Processor) end(r *run, how string, result []byte) {
	delete(p.runs, r.id)
	p.events.Ended(r.id, how)
	notice := map[string]any{"msg": "complete", "how": how, "duration": time.Since(r.begun).Milliseconds()}
	if how == "done" {
		notice["blob"] = result
	}
	p.notify(r, notice)
}

// notify sends a numbered notice and keeps it.
func (p *Processor) notify(r *run, object map[string]any) {
	p.serial++
	object["serial"] = p.serial
	object["call"] = r.id
	line, _ := json.Marshal(object)
	line = append(line, '\n')
	if len(p.notices) >= 2*keptNotices {
		p.notices = append([]keptNotice(nil), p.notices[keptNotices:]...)
	}
	p.notices = append(p.notices, keptNotice{p.serial, line})
	p.sendLine(line)
}

func (p *Processor) send(object map[string]any) {
	line, _ := json.Marshal(object)
	p.sendLine(append(line, '\n'))
}

func (p *Processor) sendLine(line []byte) {
	if p.link == nil {
		return
	}
	select {
	case p.link.out <- line:
	default: // the server does not read
		_ = p.link.conn.Close()
	}
}
