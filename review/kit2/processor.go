package kit2

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"net"
	"sync"
	"time"
)

// Processor is a processor. It runs what it is told to run, keeps its notices for the next link, and knows
// from the book which requests were sent and which are over.
type Processor struct {
	Name   string
	Book   *Book
	Record *Record
	Work   func(class, id string) time.Duration // of one part of a run
	Calls  func(class string) bool              // whether a run asks for one call between its two parts
	Gauges func(running int) []float64

	listener net.Listener
	started  time.Time
	mu       sync.Mutex
	link     net.Conn
	serial   int64
	notices  [][]byte
	runs     map[string]*run
	ran      map[string]int // runs started, by id
	dropping bool           // commands are lost
}

type run struct {
	id, class, body string
	begun           time.Time
	asked           int64 // the serial of the notice that asked for the call that the run waits for, 0 for none
}

type message struct {
	Msg     string `json:"msg"`
	Serial  int64  `json:"serial"`
	Call    string `json:"call"`
	Service string `json:"service"`
	Blob    string `json:"blob"`
	Cookie  string `json:"cookie"`
}

// Start listens on a free loopback address.
func (p *Processor) Start() (addr string, err error) {
	p.runs, p.ran, p.started = map[string]*run{}, map[string]int{}, time.Now().Add(-time.Hour)
	if p.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return "", err
	}
	go func() {
		for {
			conn, err := p.listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p.listener.Addr().String(), nil
}

// Running returns the number of runs that have begun and not ended, and how many of them wait for a call.
func (p *Processor) Running() (running, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.runs {
		if r.asked != 0 {
			waiting++
		}
	}
	return len(p.runs), waiting
}

// Runs returns how often a request was run.
func (p *Processor) Runs(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ran[id]
}

// Break breaks the link. The commands of the last moments before that, at most 50 ms, are lost with it.
func (p *Processor) Break(lost time.Duration) {
	p.mu.Lock()
	p.dropping = true
	link := p.link
	p.mu.Unlock()
	time.Sleep(min(lost, 49*time.Millisecond))
	p.mu.Lock()
	p.dropping = false
	if link != nil && p.link == link {
		p.link = nil
	}
	p.mu.Unlock()
	if link != nil {
		_ = link.Close()
	}
	p.Record.Printf("%s link broken", p.Name)
}

// AbortWaiting ends the runs that wait for a call and whose request is over.
func (p *Processor) AbortWaiting(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.runs[id]
	if r != nil && r.asked != 0 && p.Book.Over(id) {
		p.end(r, "aborted", "")
	}
}

func (p *Processor) serve(conn net.Conn) {
	in := bufio.NewReaderSize(conn, 64<<10)
	for {
		line, err := in.ReadBytes('\n')
		if err != nil {
			return
		}
		var m message
		if json.Unmarshal(line, &m) != nil {
			_ = conn.Close()
			return
		}
		p.mu.Lock()
		p.handle(conn, &m)
		p.mu.Unlock()
	}
}

func (p *Processor) handle(conn net.Conn, m *message) {
	if m.Msg == "hello" {
		if p.link != nil && p.link != conn {
			_ = p.link.Close()
		}
		p.link = conn
		p.write(map[string]any{"msg": "hi", "how": "seasoned", "duration": time.Since(p.started).Milliseconds()})
		for i, n := range p.notices {
			if int64(i)+1 > m.Serial {
				_, _ = conn.Write(n)
			}
		}
		return
	}
	if conn != p.link {
		return
	}
	if p.dropping {
		p.Record.Printf("%s lost %s %s", p.Name, m.Msg, m.Call)
		return
	}
	body, _ := base64.StdEncoding.DecodeString(m.Blob)
	switch m.Msg {
	case "begin":
		p.begin(m.Call, m.Service, string(body))
	case "answer", "without":
		r := p.runs[m.Call]
		if r == nil || r.asked == 0 || m.Msg == "without" && r.asked != m.Serial {
			p.Record.Printf("%s reject %s %s", p.Name, m.Msg, m.Call)
			p.write(map[string]any{"msg": "reject", "how": m.Msg, "call": m.Call})
			return
		}
		r.asked = 0
		p.after(r, func() { p.end(r, "done", result(r.id)) })
	case "usage":
		p.write(map[string]any{"msg": "used", "cookie": m.Cookie, "stats": p.Gauges(len(p.runs))})
	}
}

// result is the result of a request's run.
func result(id string) string { return "result of " + id }

// Result returns the result that a run of a request makes.
func Result(id string) string { return result(id) }

func (p *Processor) begin(id, class, body string) {
	switch {
	case !p.Book.Known(id, class, body):
		p.Record.Printf("%s reject begin %s", p.Name, id)
		p.write(map[string]any{"msg": "reject", "how": "begin", "call": id})
		return
	case p.runs[id] != nil:
		return
	}
	r := &run{id: id, class: class, body: body, begun: time.Now()}
	if p.Book.Over(id) {
		p.end(r, "stale", "")
		return
	}
	p.runs[id] = r
	p.ran[id]++
	p.Record.Printf("%s run %s %s", p.Name, class, id)
	p.after(r, func() {
		switch {
		case !p.Calls(class):
			p.end(r, "done", result(id))
		case p.Book.Over(id):
			p.end(r, "aborted", "")
		default:
			r.asked = p.notify(map[string]any{"msg": "ask", "call": id, "blob": blob("call of " + id)})
		}
	})
}

// after calls next, with the lock held, once a part of a run is done.
func (p *Processor) after(r *run, next func()) {
	time.AfterFunc(p.Work(r.class, r.id), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.runs[r.id] == r {
			next()
		}
	})
}

func (p *Processor) end(r *run, how, res string) {
	delete(p.runs, r.id)
	p.Record.Printf("%s end %s %s", p.Name, how, r.id)
	m := map[string]any{"msg": "complete", "call": r.id, "how": how, "duration": time.Since(r.begun).Milliseconds()}
	if how == "done" {
		m["blob"] = blob(res)
	}
	p.notify(m)
}

func blob(s string) string { return base64.StdEncoding.EncodeToString([]byte(s)) }

func (p *Processor) notify(m map[string]any) int64 {
	p.serial++
	m["serial"] = p.serial
	line, _ := json.Marshal(m)
	p.notices = append(p.notices, append(line, '\n'))
	p.write(m)
	return p.serial
}

func (p *Processor) write(m map[string]any) {
	if p.link == nil {
		return
	}
	line, _ := json.Marshal(m)
	_, _ = p.link.Write(append(line, '\n'))
}

// Reset makes the processor begin anew, as it does when its server is killed: with no run and no notice.
func (p *Processor) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs, p.notices, p.serial, p.link = map[string]*run{}, nil, 0, nil
}
