// Package idleconns measures the cost of idle connections for a server: memory, CPU time, and the
// latency of busy connections as a function of the number of idle ones. It also measures the effect
// of a mass expiry, in which all idle connections reach their idle timeout at the same time.
package idleconns

import (
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// Plan describes an experiment.
type Plan struct {
	Program      string // path of the server's binary
	Connections  []int  // numbers of idle connections, over all servers; each gives a row
	Servers      int
	Rate         float64       // requests per second on the busy connections, over all servers
	BusyConns    int           // busy connections to each server
	Seconds      float64       // duration of each measurement
	Rounds       int           // number of pairs of measurements, without and with the idle connections
	CPU          int           // the CPU that all servers run on; negative for any
	HealthChecks bool          // send health checks instead of requests on the busy connections
	Statistics   bool          // read statistics by SIGUSR1, which ends a server that does not handle it
	IdleTimeout  time.Duration // idle timeout of the servers, for RunExpiry
	HonorClose   bool          // idle clients close their connection on a go-away message
	Progress     io.Writer     // nil discards progress messages
}

// reservedDescriptors is the number of descriptors that a server needs in addition to one per
// client connection.
const reservedDescriptors = 400

// ErrNoConnections is returned by Validate for a plan whose Connections are empty.
var ErrNoConnections = errors.New("--connections: at least one number of idle connections is required")

// Validate returns an error for values that are out of range or exceed the limits of this machine.
func (p *Plan) Validate() error {
	if err := p.validateRanges(); err != nil {
		return err
	}
	if err := p.validateConnections(); err != nil {
		return err
	}
	if _, err := os.Stat(p.Program); err != nil {
		return fmt.Errorf("--server %s: %w; run make build to build it", p.Program, err)
	}
	return nil
}

func (p *Plan) validateRanges() error {
	switch {
	case p.Servers < 1 || p.Servers > 64:
		return fmt.Errorf("--servers %d: must be from 1 to 64", p.Servers)
	case p.Rate <= 0 || p.Rate > 50_000:
		return fmt.Errorf("--rate %g: must be over 0 and at most 50000 requests per second", p.Rate)
	case p.Seconds < 0.5 || p.Seconds > 600:
		return fmt.Errorf("--seconds %g: must be from 0.5 to 600", p.Seconds)
	case p.Rounds < 1 || p.Rounds > 20:
		return fmt.Errorf("--rounds %d: must be from 1 to 20", p.Rounds)
	case p.BusyConns < 1 || p.BusyConns > 256:
		return fmt.Errorf("--busy %d: must be from 1 to 256", p.BusyConns)
	case len(p.Connections) == 0:
		return ErrNoConnections
	}
	return nil
}

// validateConnections checks the numbers of idle connections against the limits on descriptors and
// ports.
func (p *Plan) validateConnections() error {
	maxDescriptors, err := descriptorLimit()
	if err != nil {
		return err
	}
	maxPerServer := int(min(maxDescriptors, math.MaxInt32)) - reservedDescriptors - p.BusyConns
	ports, err := ephemeralPorts()
	if err != nil {
		return err
	}
	for _, n := range p.Connections {
		share := (n + p.Servers - 1) / p.Servers
		switch {
		case n < 0:
			return fmt.Errorf("--connections %d: must not be negative", n)
		case share > maxPerServer:
			return fmt.Errorf("--connections %d: with a limit of %d descriptors per process, %d servers take at most "+
				"%d connections; at least %d servers are needed",
				n, maxDescriptors, p.Servers, p.Servers*maxPerServer, (n+maxPerServer-1)/maxPerServer)
		case share > ports:
			return fmt.Errorf("--connections %d: the system has %d ephemeral ports for connections to one server; "+
				"more servers are needed", n, ports)
		}
	}
	return nil
}

// descriptorLimit returns the hard limit on descriptors per process.
func descriptorLimit() (uint64, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, fmt.Errorf("read the limit on descriptors per process: %w", err)
	}
	return limit.Max, nil
}

// ephemeralPorts returns the number of ephemeral ports, which bounds the connections from one
// address to one server.
func ephemeralPorts() (int, error) {
	text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		return 0, err
	}
	var first, last int
	if _, err := fmt.Sscan(string(text), &first, &last); err != nil {
		return 0, fmt.Errorf("parse the range of ephemeral ports %q: %w", text, err)
	}
	return last - first + 1, nil
}

func (p *Plan) progress(format string, arguments ...any) {
	if p.Progress != nil {
		fmt.Fprintf(p.Progress, format+"\n", arguments...)
	}
}
