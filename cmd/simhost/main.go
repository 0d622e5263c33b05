// Command simhost runs the admission controllers of simulated servers. It reads batches of events
// from the simulator on standard input, passes each event to its server's controller, and writes
// the controllers' actions to standard output.
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

// unknownServerError reports an event for a server that was not started or has crashed.
type unknownServerError struct{ server string }

// Error returns a message with the server's name.
func (e *unknownServerError) Error() string {
	return fmt.Sprintf("event for server %q, which is not running", e.server)
}

// host holds the simulated servers.
type host struct {
	servers map[string]*simulatedServer
	pending []string // names of servers with events in this batch, in the order of the first event
}

// simulatedServer is a server's controller and the server's events in this batch.
type simulatedServer struct {
	controller *admission.Controller
	events     []admission.Event
}

// run reads batches and writes the actions for each, until the input ends.
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

// add starts or removes the event's server, or adds the event to those on which the server decides
// at the end of the batch.
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

// decide writes the actions of each server with events in this batch.
func (h *host) decide(now float64, writer *simulator.Writer) {
	for _, name := range h.pending {
		server := h.servers[name]
		if server == nil || len(server.events) == 0 { // crashed, or started twice and already handled
			continue
		}
		server.decide(name, now, writer)
		server.events = server.events[:0]
	}
	h.pending = h.pending[:0]
}

// decide writes the controller's actions on the server's events. If the controller panics, the
// panic is reported to the simulator instead.
func (s *simulatedServer) decide(name string, now float64, writer *simulator.Writer) {
	defer func() {
		if cause := recover(); cause != nil {
			writer.AddPanic(name, fmt.Sprint(cause))
		}
	}()
	writer.AddActions(name, s.controller.Decide(now, s.events))
}
