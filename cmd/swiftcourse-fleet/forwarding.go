package main

import (
	"log/slog"
	"slices"
	"strings"

	"swiftcourse/internal/config"
	"swiftcourse/internal/forwarder"
	"swiftcourse/internal/server"
)

// workerQueueMemoryDivisor is the divisor of the memory limit that bounds the messages queued for all
// workers.
const workerQueueMemoryDivisor = 16

// workersKey is the key of the workers in the operator's file.
const workersKey = "forward-to"

// EnableForwarding makes a server forward its requests to the workers of the operator's file. A
// forwarder runs no requests itself: its number of cores is that of all workers together, or the
// configured maximum of requests in flight.
func (p *fleetProgram) EnableForwarding(
	startup *config.Startup, operator *config.OperatorSettings, srv *server.Server,
) error {
	workers, err := parseWorkers(operator.Forwarding.Workers)
	if err != nil {
		return err
	}
	startup.Settings.Cores *= len(workers)
	if operator.Forwarding.MaxInFlight > 0 {
		startup.Settings.Cores = operator.Forwarding.MaxInFlight
	}
	p.dispatcher = forwarder.Start(forwarder.Config{
		Workers:           workers,
		Classes:           startup.Settings.Classes,
		MaxQueuedBytes:    startup.MemoryBytes / workerQueueMemoryDivisor / int64(len(workers)),
		Seed:              forwarder.SeedFor(startup.Name, startup.Seed),
		SlowStartSpeed:    startup.Settings.SlowStart.InitialSpeed,
		SlowStartSeconds:  startup.WorkerSlowStartDuration,
		Now:               srv.Now,
		OnResults:         srv.HandleForwardResults,
		OnWorkerAvailable: srv.HandleWorkerAvailable,
	})
	srv.EnableForwarding(p.dispatcher.Dispatch, p.dispatcher.Cancel)
	slog.Info("forwarding_enabled", "workers", len(workers), "max_in_flight", startup.Settings.Cores)
	return nil
}

// parseWorkers parses workers of the form name=address.
func parseWorkers(texts []string) ([]forwarder.Worker, error) {
	if len(texts) == 0 {
		return nil, &config.FieldError{Key: workersKey, Reason: "lists no workers; expected at least one"}
	}
	var workers []forwarder.Worker
	for _, text := range texts {
		name, addr, found := strings.Cut(text, "=")
		hasName := func(w forwarder.Worker) bool { return w.Name == name }
		if !found || name == "" || addr == "" || slices.ContainsFunc(workers, hasName) {
			return nil, &config.FieldError{
				Key:    workersKey,
				Value:  text,
				Reason: invalidAddressReason,
			}
		}
		workers = append(workers, forwarder.Worker{Name: name, Addr: addr})
	}
	return workers, nil
}
