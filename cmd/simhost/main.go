// Command simhost runs the admission controllers of simulated servers: it reads the simulator's
// batches of events on standard input, has each server's controller decide on its events, and writes
// the actions to standard output.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"swiftcourse/admission"
	"swiftcourse/internal/config"
	"swiftcourse/internal/wire/simulator"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// unknownServerError reports an event of a server that was never started.
type unknownServerError struct{ server string }

// Error names the server.
func (e *unknownServerError) Error() string {
	return fmt.Sprintf("event for %s, which was never started", e.server)
}

// host holds the simulated servers.
type host struct {
	servers map[string]*simulatedServer
	pending []string // servers with events in this batch, in the order of their first
}

// simulatedServer is one server's controller and its events in this batch.
type simulatedServer struct {
	controller *admission.Controller
	events     []admission.Event
}

// run answers batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	reader := simulator.NewReader(in)
	writer := simulator.NewWriter(out)
	h := &host{servers: map[string]*simulatedServer{}}
	for {
		batch, err := reader.ReadBatch()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("reading a batch: %w", err)
		}
		for i := range batch.Events {
			if err := h.add(&batch.Events[i]); err != nil {
				return err
			}
		}
		h.decide(batch.Now, writer)
		if err := writer.Flush(); err != nil {
			return fmt.Errorf("writing actions: %w", err)
		}
	}
}

// add has an event wait for the decisions on its batch, or starts or removes its server.
func (h *host) add(event *simulator.Event) error {
	name := event.Instance
	switch event.Change {
	case simulator.ChangeCrashed:
		delete(h.servers, name)
		return nil
	case simulator.ChangeStarted:
		h.servers[name] = &simulatedServer{
			controller: admission.New(event.Seed, config.AdmissionSettings(event.Settings)),
			events:     []admission.Event{{Kind: admission.Started}},
		}
		h.pending = append(h.pending, name)
		return nil
	}
	server := h.servers[name]
	if server == nil {
		return &unknownServerError{server: name}
	}
	if len(server.events) == 0 {
		h.pending = append(h.pending, name)
	}
	server.events = append(server.events, event.Event)
	return nil
}

// decide has each server with events decide on them.
func (h *host) decide(now float64, writer *simulator.Writer) {
	for _, name := range h.pending {
		server := h.servers[name]
		if server == nil || len(server.events) == 0 { // removed since, or started twice
			continue
		}
		server.decide(name, now, writer)
		server.events = server.events[:0]
	}
	h.pending = h.pending[:0]
}

// decide writes the controller's actions. A panic of the controller is reported to the simulator in
// their place.
func (s *simulatedServer) decide(name string, now float64, writer *simulator.Writer) {
	defer func() {
		if cause := recover(); cause != nil {
			writer.AddPanic(name, fmt.Sprint(cause))
		}
	}()
	writer.AddActions(name, s.controller.Decide(now, s.events))
}
