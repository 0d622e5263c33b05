// Package idleconns measures what idle connections cost a server: memory, CPU time, and latency of the busy
// connections as the number of idle ones grows; and what happens when all of them reach their idle timeout at once.
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

// Plan is the experiment.
type Plan struct {
	Program      string // path of the server's binary
	Connections  []int  // idle ones over all servers; each number gives a row
	Servers      int
	Rate         float64       // busy requests a second, over all servers
	Busy         int           // busy connections to each server
	Seconds      float64       // of each measurement
	Rounds       int           // how often it is measured with and without the idle connections, in turns
	CPU          int           // that all servers share; under 0 for any
	HealthChecks bool          // the busy connections send health checks in place of requests
	Statistics   bool          // ask servers for statistics; one that does not know the signal ends
	IdleTimeout  time.Duration // for RunExpiry: how long a connection may be silent
	HonorClose   bool          // idle clients close when they are asked to
	Progress     io.Writer     // nil for none
}

// spareDescriptors is how many descriptors a server needs in addition to those of its clients' connections.
const spareDescriptors = 400

// ErrNoConnections is returned by Validate for a plan without numbers of idle connections.
var ErrNoConnections = errors.New("--connections: none given")

// Validate returns an error for numbers that are out of range, or that this machine can't serve.
func (p *Plan) Validate() error {
	if err := p.validateRanges(); err != nil {
		return err
	}
	if err := p.validateConnections(); err != nil {
		return err
	}
	if _, err := os.Stat(p.Program); err != nil {
		return fmt.Errorf("--server %s: %w; make build makes it", p.Program, err)
	}
	return nil
}

func (p *Plan) validateRanges() error {
	switch {
	case p.Servers < 1 || p.Servers > 64:
		return fmt.Errorf("--servers %d: from 1 to 64", p.Servers)
	case p.Rate <= 0 || p.Rate > 50_000:
		return fmt.Errorf("--rate %g: over 0 and at most 50000 tasks a second", p.Rate)
	case p.Seconds < 0.5 || p.Seconds > 600:
		return fmt.Errorf("--seconds %g: from 0.5 to 600", p.Seconds)
	case p.Rounds < 1 || p.Rounds > 20:
		return fmt.Errorf("--rounds %d: from 1 to 20", p.Rounds)
	case p.Busy < 1 || p.Busy > 256:
		return fmt.Errorf("--busy %d: from 1 to 256", p.Busy)
	case len(p.Connections) == 0:
		return ErrNoConnections
	}
	return nil
}

// validateConnections compares the numbers of idle connections with the limits on descriptors and ports.
func (p *Plan) validateConnections() error {
	maxDescriptors, err := descriptorLimit()
	if err != nil {
		return err
	}
	perServer := int(min(maxDescriptors, math.MaxInt32)) - spareDescriptors - p.Busy
	ports, err := ephemeralPorts()
	if err != nil {
		return err
	}
	for _, n := range p.Connections {
		share := (n + p.Servers - 1) / p.Servers
		switch {
		case n < 0:
			return fmt.Errorf("--connections %d: under 0", n)
		case share > perServer:
			return fmt.Errorf("--connections %d: a process may hold %d descriptors here, so %d servers take %d; "+
				"at least %d servers are needed",
				n, maxDescriptors, p.Servers, p.Servers*perServer, (n+perServer-1)/perServer)
		case share > ports:
			return fmt.Errorf("--connections %d: loopback has %d ports to one server's address; "+
				"more servers are needed", n, ports)
		}
	}
	return nil
}

// descriptorLimit returns how many descriptors a process may raise its limit to.
func descriptorLimit() (uint64, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, fmt.Errorf("read the limit on descriptors: %w", err)
	}
	return limit.Max, nil
}

// ephemeralPorts returns how many connections may go from one address to one address and port.
func ephemeralPorts() (int, error) {
	text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		return 0, err
	}
	var first, last int
	if _, err := fmt.Sscan(string(text), &first, &last); err != nil {
		return 0, fmt.Errorf("read the range of ports: %w", err)
	}
	return last - first + 1, nil
}

func (p *Plan) progress(format string, arguments ...any) {
	if p.Progress != nil {
		fmt.Fprintf(p.Progress, format+"\n", arguments...)
	}
}
