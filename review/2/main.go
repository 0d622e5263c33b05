// Case 2: after the link to the processor broke, the server sends the reply to a call again, and the
// processor takes it as the reply to the run's next call.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"review/kit"
)

const (
	perSecond  = 1140 // first tries, six times 190: as a server of the deployment gets on its fast day
	playFor    = 100 * time.Second
	breakEvery = 1 * time.Second
	cores      = 6
	limit      = 750 * time.Millisecond
)

type world struct {
	record    *kit.Record
	book      *kit.Book
	processor *kit.Processor

	mu      sync.Mutex
	calls   map[string]int      // by request: how many it makes
	replies map[string][]string // by request: what its run was told
	counts  map[string]int      // answers by kind
	foreign int
	changed int
	late    int
	breaks  int
}

func main() {
	root, _ := filepath.Abs(os.Args[1])
	folder, err := os.MkdirTemp("", "case2")
	if err != nil {
		kit.Cannot("%v", err)
	}
	w := &world{
		record: kit.NewRecord(os.Args[2]), book: kit.NewBook(),
		calls: map[string]int{}, replies: map[string][]string{}, counts: map[string]int{},
	}
	code := w.play(root, folder)
	kit.EndAll()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

func callBody(id string, call int) []byte { return fmt.Appendf(nil, "price %s part %d", id, call) }
func replyTo(body []byte) string          { return "reply to " + string(body) }

func (w *world) play(root, folder string) int {
	catalogue := kit.StartCatalogue(
		func() time.Duration { return time.Millisecond + time.Duration(rand.ExpFloat64()*2e6) },
		func(_ string, body []byte) []byte { return []byte(replyTo(body)) })
	roster := kit.StartRoster()
	w.processor = kit.StartProcessor(cores, w.plan, kit.ProcessorEvents{
		Known: func(id, class string, body []byte) bool { return w.book.Known("n1", id, class, body) },
		Over:  w.book.Over,
		Begun: func(id, class string) { w.record.Add("run id=%s class=%s", id, class) },
		Asked: func(id string, call int, body []byte) { w.record.Add("ask id=%s call=%d body=%q", id, call, body) },
		Replied: func(id string, call int, blob []byte, without bool) {
			w.replied(id, call, blob, without)
		},
		Ended:  func(id, how string) { w.record.Add("run_ended id=%s how=%s", id, how) },
		Call:   callBody,
		Result: w.result,
	})
	site := kit.Site{
		Classes: []kit.Class{
			{Name: "fare-lookup", Effect: "idempotent", AimMs: 300, LimitMs: 750, Worth: 1, Late: 0.2, SkipWorth: 0.3, Calls: true},
			{Name: "trip-price", Effect: "idempotent", AimMs: 300, LimitMs: 750, Worth: 2, Late: 0.2, SkipWorth: 0.3, Calls: true},
		},
		Cores: cores, DrainGraceMs: 2000, FallMultiple: 8, FallMs: 1500, Below: "tier", MemoryKb: 58116, RunFactor: 16,
		Say: "weight", Servers: 4,
	}
	config := &kit.ServerConfig{
		Name: "n1", Listen: kit.FreeAddress(), Processor: w.processor.Address, Roster: roster.Address,
		Catalog: catalogue.Address, StopMs: 3200, Settings: site.Settings(),
	}
	server := kit.StartServer(root, folder, config, w.record)
	for begun := time.Now(); roster.Duty("n1") != "on"; time.Sleep(50 * time.Millisecond) {
		if time.Since(begun) > 15*time.Second || server.HasEnded() {
			kit.Cannot("the server was not listed")
		}
	}
	w.load(config.Listen)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.Say("answers: %v; links broken: %d", w.counts, w.breaks)
	switch {
	case server.HasEnded():
		kit.Cannot("the server ended")
	case w.counts["served"] < 1000:
		kit.Cannot("too few requests were served")
	case w.foreign+w.changed > 0:
		w.record.Say("BROKEN: %d times a run was given the reply to another call of its request as the reply to its call; "+
			"%d requests were served with such a result", w.changed, w.foreign)
		return kit.Broken
	}
	return kit.Held
}

// plan draws the parts of a run: some milliseconds of work before, between and after its calls.
func (w *world) plan(id, class string) []time.Duration {
	calls := 1
	if class == "fare-lookup" { // 2 in the mean
		calls = 1 + rand.IntN(3)
	}
	w.mu.Lock()
	w.calls[id] = calls
	w.mu.Unlock()
	var parts []time.Duration
	for range calls + 1 {
		parts = append(parts, time.Duration((0.3+rand.ExpFloat64()*0.5)*float64(time.Millisecond)))
	}
	return parts
}

func (w *world) replied(id string, call int, blob []byte, without bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if without {
		w.record.Add("without id=%s call=%d", id, call)
		w.replies[id] = append(w.replies[id], "without")
		return
	}
	w.record.Add("reply id=%s call=%d blob=%q", id, call, blob)
	w.replies[id] = append(w.replies[id], string(blob))
	if string(blob) != replyTo(callBody(id, call)) {
		w.changed++
		w.record.Say("run %s waits for call %d and is given %q", id, call, blob)
	}
}

// result is what a run makes of the replies to its calls.
func (w *world) result(id string) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	return []byte("result of " + id + ": " + strings.Join(w.replies[id], ", "))
}

// load sends requests over some connections, and breaks the link to the processor now and then.
func (w *world) load(address string) {
	var balancers []*kit.Balancer
	for range 12 {
		balancer, err := kit.Dial(address)
		if err != nil {
			kit.Cannot("%v", err)
		}
		balancers = append(balancers, balancer)
	}
	var all sync.WaitGroup
	end := time.Now().Add(playFor)
	nextBreak := time.Now().Add(2 * time.Second)
	next := time.Now()
	for n := 0; time.Now().Before(end); n++ {
		next = next.Add(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		time.Sleep(time.Until(next))
		if kit.Trouble() && time.Now().After(nextBreak) {
			nextBreak = time.Now().Add(breakEvery)
			w.breaks++
			w.record.Add("link_broken")
			w.processor.BreakLink()
		}
		balancer := balancers[n%len(balancers)]
		if !balancer.Usable() {
			if fresh, err := kit.Dial(address); err == nil {
				balancer = fresh
				balancers[n%len(balancers)] = fresh
			}
		}
		class := "trip-price"
		if rand.Float64() < 0.58 {
			class = "fare-lookup"
		}
		r := &kit.Request{
			ID: kit.NewID(), Class: class, Body: []byte("tap " + strconv.Itoa(n)), Timeout: limit, Memory: 24.5,
			Answer: make(chan kit.Answer, 4),
		}
		w.book.Add(r, "n1")
		if !balancer.Send(r) {
			continue
		}
		w.record.Add("sent id=%s class=%s", r.ID, class)
		all.Add(1)
		go func() {
			defer all.Done()
			w.await(r)
		}()
	}
	all.Wait()
}

func (w *world) await(r *kit.Request) {
	answer := kit.Answer{Kind: "none", At: time.Now()}
	select {
	case answer = <-r.Answer:
	case <-time.After(time.Until(r.Sent.Add(r.Timeout + time.Second))):
	}
	w.book.SetOver(r.ID)
	w.record.Add("answer id=%s kind=%q result=%q", r.ID, answer.Kind, answer.Result)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts[answer.Kind]++
	if answer.Kind != "served" {
		return
	}
	calls := w.calls[r.ID]
	for call := 1; call <= calls; call++ {
		if strings.Contains(string(answer.Result), "without") {
			return
		}
		if !strings.Contains(string(answer.Result), replyTo(callBody(r.ID, call))) {
			w.foreign++
			w.record.Say("request %s was served with %q", r.ID, answer.Result)
			return
		}
	}
}
