package kit2

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Fleet is a handful of servers, each with a processor and a catalogue of its own, the roster, and balancers
// that send only to servers which the roster lists as taking work.
type Fleet struct {
	Case       *Case
	Book       *Book
	Roster     *Roster
	Deployment *Deployment
	Servers    map[string]*Server
	Processors map[string]*Processor
	Names      []string

	mu     sync.Mutex
	conns  map[string]*Conn
	counts map[string]map[string]int
	open   sync.WaitGroup
	sent   int
}

// StartFleet starts the servers and waits until they are listed. work is the time of one part of a run, call
// that of a call; the runs of a class make one call where the deployment says so.
func StartFleet(c *Case, d *Deployment, work, call time.Duration) (*Fleet, error) {
	f := &Fleet{Case: c, Book: NewBook(), Deployment: d, Servers: map[string]*Server{}, Processors: map[string]*Processor{},
		conns: map[string]*Conn{}, counts: map[string]map[string]int{}}
	var err error
	if f.Roster, err = StartRoster(c.Record); err != nil {
		return nil, err
	}
	calls := map[string]bool{}
	for _, class := range d.Classes {
		calls[class.Name] = class.Calls
	}
	for i := range d.Servers {
		name := fmt.Sprintf("n%d", i+1)
		catalogue, err := StartCatalogue(func() time.Duration { return call })
		if err != nil {
			return nil, err
		}
		p := &Processor{Name: name, Book: f.Book, Record: c.Record, Gauges: Gauges(d.Cores),
			Calls: func(class string) bool { return calls[class] },
			Work:  func(string, string) time.Duration { return work }}
		addr, err := p.Start()
		if err != nil {
			return nil, err
		}
		listen := FreeAddr()
		s := &Server{Name: name, Addr: listen, Config: d.Config(name, listen, addr, f.Roster.Addr, catalogue)}
		if err := c.StartServer(s); err != nil {
			return nil, err
		}
		f.Names, f.Servers[name], f.Processors[name] = append(f.Names, name), s, p
	}
	for _, name := range f.Names {
		if !f.Servers[name].WaitHealthy(20 * time.Second) {
			return nil, fmt.Errorf("%s is not healthy", name)
		}
	}
	for end := time.Now().Add(10 * time.Second); len(f.Roster.List()) < d.Servers; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return nil, fmt.Errorf("the roster lists %v", f.Roster.List())
		}
	}
	return f, nil
}

// Try is a try that was sent.
type Try struct {
	ID, Server, Class string
	Call              *Call
}

// Send sends one try to a listed server, chosen at random, and counts what becomes of it in a phase of the
// case. gaveUp, if not nil, is called where no answer came within patience, after the request is over.
func (f *Fleet) Send(phase, class string, ttl int, patience time.Duration, gaveUp func(*Try)) error {
	f.mu.Lock()
	f.sent++
	n := f.sent
	f.mu.Unlock()
	list := f.Roster.List()
	if len(list) == 0 {
		f.count(phase, "no server listed")
		f.Case.Record.Printf("%s request %d: no server is listed", phase, n)
		return nil
	}
	name := list[rand.IntN(len(list))]
	conn, err := f.connection(name, n)
	if err != nil {
		f.count(phase, "no connection")
		return nil
	}
	body := fmt.Sprintf("body %d", n)
	id := f.Book.New(class, body)
	tenant := f.Deployment.TenantNames[0]
	fields := map[string]string{"call": id, "org": tenant, "ttl": fmt.Sprint(ttl), "heap": "24.5", "crit": "0.5"}
	for _, d := range f.Deployment.Classes {
		if d.Name == class && d.Effect == "deduplicated" {
			fields["dedupe"] = fmt.Sprintf("%016x", n)
		}
	}
	call, err := conn.Send(class, fields, body)
	if err != nil {
		f.count(phase, "no connection")
		return nil
	}
	f.open.Add(1)
	go func() {
		defer f.open.Done()
		a := call.Wait(patience)
		f.Book.End(id)
		kind := a.Kind
		if kind == "none" && gaveUp != nil {
			kind = "gave up"
			gaveUp(&Try{id, name, class, call})
		}
		f.Case.Record.Printf("%s %s %s at %s: %s", phase, class, id, name, kind)
		f.count(phase, kind)
	}()
	return nil
}

func (f *Fleet) count(phase, kind string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.counts[phase] == nil {
		f.counts[phase] = map[string]int{}
	}
	f.counts[phase][kind]++
}

// connection returns one of four connections to a server, and opens it if needed.
func (f *Fleet) connection(name string, n int) (*Conn, error) {
	key := fmt.Sprintf("%s/%d", name, n%4)
	f.mu.Lock()
	conn := f.conns[key]
	f.mu.Unlock()
	if conn != nil && conn.Usable() {
		return conn, nil
	}
	conn, err := Dial(f.Servers[name].Addr)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.conns[key] = conn
	f.mu.Unlock()
	return conn, nil
}

// Wait waits until every try has ended.
func (f *Fleet) Wait() { f.open.Wait() }

// Counts returns how many tries of a phase ended how, and their number.
func (f *Fleet) Counts(phase string) (counts map[string]int, total int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.counts[phase] {
		total += n
	}
	return f.counts[phase], total
}

// Idle tells how many runs the processors have, and which servers answer a health check with true.
func (f *Fleet) Idle() (runs int, healthy []string) {
	for _, name := range f.Names {
		n, _ := f.Processors[name].Running()
		runs += n
		if Healthy(f.Servers[name].Addr) {
			healthy = append(healthy, name)
		}
	}
	return runs, healthy
}
