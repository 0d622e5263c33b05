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
	// startTimeout is how long a server may take to be healthy and listed.
	startTimeout  = 30 * time.Second
	pollInterval  = 5 * time.Millisecond
	healthTimeout = time.Second
	// addressTimeout is how long the system may hold the address of a dependency that was closed.
	addressTimeout = time.Second
	addressRetry   = time.Millisecond
)

// startTimes are how long a server took from its start, in seconds.
type startTimes struct {
	ready  float64 // until a health check succeeded
	listed float64 // until the registry knew that it accepts requests
}

// restart is the restart of one server, with new dependencies at the old addresses.
type restart struct {
	server          *process.Server
	executorAddress string
	registryAddress string
	config          process.Config
	late            lateDependencies
	delay           time.Duration // until the late dependencies start
}

// run replaces the dependencies, restarts the server and waits until it is healthy and listed.
func (r *restart) run(ctx context.Context) (startTimes, error) {
	r.server.Executor.Close()
	r.server.Registry.Close()
	if err := r.startDependencies(r.late.dependencies().others()); err != nil {
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
		lateStarted <- r.startDependencies(r.late.dependencies())
	}()
	return r.await(start, lateStarted)
}

// startDependencies starts the given dependencies of the server at their addresses.
func (r *restart) startDependencies(started dependencies) error {
	if started.executor {
		err := retryAddress(func() (err error) {
			r.server.Executor, err = executor.Start(r.executorAddress, r.config.Executor)
			return err
		})
		if err != nil {
			return err
		}
	}
	if started.registry {
		return retryAddress(func() (err error) {
			r.server.Registry, err = registry.Start(r.registryAddress, nil)
			return err
		})
	}
	return nil
}

// await waits until the server is healthy, the late dependencies have started, and the server is listed.
func (r *restart) await(start time.Time, lateStarted <-chan error) (startTimes, error) {
	var times startTimes
	healthy := func() bool { return balancer.IsHealthy(r.server.Addr, healthTimeout) }
	if !poll(start, healthy) {
		return times, fmt.Errorf("not ready within %s\n%s", startTimeout, r.server.RecentLog())
	}
	times.ready = time.Since(start).Seconds()
	if err := <-lateStarted; err != nil {
		return times, err
	}
	listed := func() bool { return r.server.Registry.Accepting(r.server.Name) }
	if !poll(start, listed) {
		return times, fmt.Errorf("not listed within %s\n%s", startTimeout, r.server.RecentLog())
	}
	times.listed = time.Since(start).Seconds()
	return times, nil
}

// poll reports whether the condition became true within the timeout from the server's start.
func poll(start time.Time, condition func() bool) bool {
	for !condition() {
		if time.Since(start) > startTimeout {
			return false
		}
		time.Sleep(pollInterval)
	}
	return true
}

// retryAddress starts a dependency at an address that the system may hold for a moment after it was closed there.
func retryAddress(start func() error) error {
	var err error
	for deadline := time.Now().Add(addressTimeout); time.Now().Before(deadline); time.Sleep(addressRetry) {
		if err = start(); !errors.Is(err, syscall.EADDRINUSE) {
			break
		}
	}
	return err
}
