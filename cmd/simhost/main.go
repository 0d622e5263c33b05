// Command simhost hosts one instance of the decision module for each server of the simulator's wire,
// on standard input and output.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"swiftcourse/admission"
	"swiftcourse/internal/config"
	"swiftcourse/internal/wire/shale"
)

func main() {
	if err := host(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// instance is one server's module and what a batch holds for it.
type instance struct {
	server *admission.Controller
	events []admission.Event
}

func host(in io.Reader, out io.Writer) error {
	r, w := shale.NewReader(in), shale.NewWriter(out)
	servers := map[string]*instance{}
	var order []string // instances with events in this batch, in order of their first
	for {
		batch, err := r.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("reading a batch: %w", err)
		}
		order = order[:0]
		for i := range batch.Events {
			e := &batch.Events[i]
			switch e.Change {
			case shale.Wiped:
				delete(servers, e.Who)
				continue
			case shale.Born:
				s := &instance{server: admission.New(e.Seed, config.AdmissionSettings(e.Told))}
				servers[e.Who] = s
				s.events = append(s.events, admission.Event{Kind: admission.Started})
				order = append(order, e.Who)
				continue
			}
			s := servers[e.Who]
			if s == nil {
				return fmt.Errorf("event for %s, which was never started", e.Who)
			}
			if len(s.events) == 0 {
				order = append(order, e.Who)
			}
			s.events = append(s.events, e.Event)
		}
		for _, who := range order {
			if s := servers[who]; s != nil && len(s.events) > 0 {
				decide(s, who, batch.Now, w)
				s.events = s.events[:0]
			}
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// decide turns a panic of the module into the wire's report of it.
func decide(s *instance, who string, now float64, w *shale.Writer) {
	defer func() {
		if p := recover(); p != nil {
			w.Panic(who, fmt.Sprint(p))
		}
	}()
	w.Add(who, s.server.Decide(now, s.events))
}
