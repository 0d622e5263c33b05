package readiness

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"swiftcourse/internal/bench/process"
	"swiftcourse/internal/fake/balancer"
	"swiftcourse/internal/fake/executor"
	"swiftcourse/internal/fake/registry"
)

const (
	// startTimeout bounds the time from the start of a server until it is healthy and listed.
	startTimeout  = 30 * time.Second
	pollInterval  = 5 * time.Millisecond
	healthTimeout = time.Second
	// addressTimeout bounds the time for which the address of a closed dependency may stay in use.
	addressTimeout       = time.Second
	addressRetryInterval = time.Millisecond
)

// startTimes are times in seconds from the start of a server.
type startTimes struct {
	ready  float64 // until a health check succeeded
	listed float64 // until the registry had a report that the server accepts requests
}

// restart restarts one server, with new dependencies at the previous addresses.
type restart struct {
	server          *process.Server
	executorAddress string
	registryAddress string
	config          process.Config
	late            lateDependencies
	delay           time.Duration // time from the start of the server to that of the late dependencies
}

// run replaces the dependencies, restarts the server and waits until it is healthy and listed.
func (r *restart) run(ctx context.Context) (startTimes, error) {
	r.server.Executor.Close()
	r.server.Registry.Close()
	if err := r.startDependencies(r.late.set().complement()); err != nil {
		return startTimes{}, err
	}
	start := time.Now()
	if err := r.server.Restart(ctx); err != nil {
		return startTimes{}, err
	}
	lateStarted := make(chan error, 1)
	go func() {
		if r.late != lateNone {
			time.Sleep(r.delay)
		}
		lateStarted <- r.startDependencies(r.late.set())
	}()
	return r.waitReady(start, lateStarted)
}

// startDependencies starts the given dependencies at their previous addresses.
func (r *restart) startDependencies(started dependencies) error {
	if started.executor {
		err := retryWhileAddressInUse(func() (err error) {
			r.server.Executor, err = executor.Start(r.executorAddress, r.config.Executor)
			return err
		})
		if err != nil {
			return err
		}
	}
	if started.registry {
		return retryWhileAddressInUse(func() (err error) {
			r.server.Registry, err = registry.Start(r.registryAddress, nil)
			return err
		})
	}
	return nil
}

// waitReady waits until the server is healthy, the late dependencies have started, and the server
// is listed.
func (r *restart) waitReady(start time.Time, lateStarted <-chan error) (startTimes, error) {
	var times startTimes
	healthy := func() bool { return balancer.IsHealthy(r.server.Addr, healthTimeout) }
	if !poll(start, healthy) {
		return times, fmt.Errorf("not healthy within %s of its start\n%s", startTimeout, r.server.RecentLog())
	}
	times.ready = time.Since(start).Seconds()
	if err := <-lateStarted; err != nil {
		return times, err
	}
	listed := func() bool { return r.server.Registry.Accepting(r.server.Name) }
	if !poll(start, listed) {
		return times, fmt.Errorf("not listed by the registry within %s of its start\n%s",
			startTimeout, r.server.RecentLog())
	}
	times.listed = time.Since(start).Seconds()
	return times, nil
}

// poll reports whether the condition became true within startTimeout of the server's start.
func poll(start time.Time, condition func() bool) bool {
	for !condition() {
		if time.Since(start) > startTimeout {
			return false
		}
		time.Sleep(pollInterval)
	}
	return true
}

// retryWhileAddressInUse starts a dependency and retries while its address is in use: the system
// may keep the address in use for a moment after the previous listener was closed.
func retryWhileAddressInUse(start func() error) error {
	var err error
	for deadline := time.Now().Add(addressTimeout); time.Now().Before(deadline); time.Sleep(addressRetryInterval) {
		if err = start(); !errors.Is(err, syscall.EADDRINUSE) {
			break
		}
	}
	return err
}
