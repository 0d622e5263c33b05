// Package process starts real servers as processes on loopback, each with fakes of the services that it talks to.
//
// The caller owns the servers that it starts and ends them with CloseAll. A Server's methods may be called from any
// goroutine, except Restart, which must not run at the same time as any other method of that server.
package process

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"swiftcourse/internal/fake/balancer"
	"swiftcourse/internal/fake/executor"
	"swiftcourse/internal/fake/registry"
	"swiftcourse/internal/fake/upstream"
)

// Server is one server process with its fakes.
type Server struct {
	Name     string
	Addr     string
	Executor *executor.Server
	Upstream *upstream.Server // nil where the server makes no upstream calls
	Registry *registry.Server

	config     Config
	path       string // of the JSON configuration
	folder     string // of the server's files
	command    *exec.Cmd
	exited     chan struct{} // closed once the process has ended and exitErr is set
	exitErr    error
	statistics chan LogFields // the latest statistics that Statistics has not returned

	mu        sync.Mutex
	recentLog []string
}

const (
	// timeout is how long a server may take to become healthy, to log its statistics or to drain.
	timeout        = 20 * time.Second
	healthTimeout  = time.Second
	healthPoll     = 20 * time.Millisecond
	folderPattern  = "swiftcourse-bench-"
	maxLogLine     = 1 << 20
	maxRecentLines = 20 // of the log, for the error of a server that ends unexpectedly

	// The fakes and the servers listen on different loopback addresses. Outgoing connections use 127.0.0.1, so none
	// can take a port that freeAddress found free for a server.
	executorAddress = "127.0.0.2:0"
	registryAddress = "127.0.0.3:0"
	upstreamAddress = "127.0.0.4:0"
	serverAddress   = "127.0.0.9:0"
)

// Start starts n servers, named n1 and so on, and waits until they are healthy. It ends all of them on an error.
func Start(ctx context.Context, n int, config Config) (servers []*Server, err error) {
	defer func() {
		if err != nil {
			CloseAll(servers)
		}
	}()
	for i := range n {
		s, err := Launch(ctx, fmt.Sprintf("n%d", i+1), config)
		if err != nil {
			return servers, err
		}
		servers = append(servers, s)
	}
	for _, s := range servers {
		if err := s.WaitHealthy(ctx); err != nil {
			return servers, err
		}
		if err := s.lowerDescriptorLimit(); err != nil {
			return servers, err
		}
	}
	return servers, nil
}

// Launch starts one server under a name and returns without waiting for it to become healthy.
func Launch(ctx context.Context, name string, config Config) (*Server, error) {
	s := &Server{Name: name, config: config, statistics: make(chan LogFields, 1)}
	if err := s.prepare(); err != nil {
		s.close()
		return nil, fmt.Errorf("prepare %s: %w", name, err)
	}
	if err := s.launch(ctx); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

// prepare starts the fakes, chooses an address and writes the configuration.
func (s *Server) prepare() (err error) {
	if s.Executor, err = executor.Start(executorAddress, s.config.executorConfig(s.Name)); err != nil {
		return err
	}
	if s.Registry, err = registry.Start(registryAddress, nil); err != nil {
		return err
	}
	if respond := s.config.upstreamResponder(s.Name); respond != nil {
		if s.Upstream, err = upstream.Start(upstreamAddress, respond); err != nil {
			return err
		}
	}
	if s.Addr, err = freeAddress(); err != nil {
		return err
	}
	if s.folder, err = os.MkdirTemp("", folderPattern); err != nil {
		return err
	}
	return s.writeServerFile()
}

// launch starts the process.
func (s *Server) launch(ctx context.Context) error {
	s.exited = make(chan struct{})
	program := s.config.program(s.Name)
	s.command = exec.CommandContext(ctx, program, s.config.Args...)
	var err error
	if s.command.Env, err = s.prepareEnvironment(); err != nil {
		return err
	}
	stderr, err := s.command.StderrPipe()
	if err != nil {
		return err
	}
	if err := startOnCPU(s.config.CPU, s.command.Start); err != nil {
		return fmt.Errorf("%s: %w (make build makes it)", program, err)
	}
	go s.readLog(s.command, s.exited, stderr)
	return nil
}

// lowerDescriptorLimit lowers the process's descriptor limit while it serves, so that the limit in its configuration is
// too high.
func (s *Server) lowerDescriptorLimit() error {
	if s.config.ActualDescriptors <= 0 {
		return nil
	}
	limit := unix.Rlimit{Cur: uint64(s.config.ActualDescriptors), Max: uint64(s.config.ActualDescriptors)}
	if err := unix.Prlimit(s.command.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		return fmt.Errorf("limit the descriptors of %s: %w", s.Name, err)
	}
	return nil
}

// Signal sends the process a signal.
func (s *Server) Signal(signal syscall.Signal) error { return s.command.Process.Signal(signal) }

// Kill kills the process and waits until it has ended.
func (s *Server) Kill() {
	_ = s.command.Process.Kill() // fails only where the process has ended
	<-s.exited
}

// Restart starts the server again under its name and at its address, with none of its state. The process must have
// ended.
func (s *Server) Restart(ctx context.Context) error { return s.launch(ctx) }

// assignedAddresses holds what freeAddress returned, so that servers that start at once get different addresses.
var assignedAddresses sync.Map

// freeAddress returns an address on which nobody listens.
func freeAddress() (string, error) {
	for {
		listener, err := net.Listen("tcp", serverAddress)
		if err != nil {
			return "", err
		}
		address := listener.Addr().String()
		_ = listener.Close()
		if _, assigned := assignedAddresses.LoadOrStore(address, true); !assigned {
			return address, nil
		}
	}
}

// readLog reads the log until the process ends.
func (s *Server) readLog(command *exec.Cmd, exited chan struct{}, stderr io.Reader) {
	lines := bufio.NewScanner(stderr)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		s.handleLogLine(lines.Text())
	}
	s.exitErr = command.Wait()
	close(exited)
}

// handleLogLine passes a line to the configured receivers and keeps it in the recent log.
func (s *Server) handleLogLine(line string) {
	if s.config.Log != nil {
		fmt.Fprintf(s.config.Log, "%s %s\n", s.Name, line)
	}
	if s.config.OnLogLine != nil {
		s.config.OnLogLine(s.Name, line)
	}
	s.mu.Lock()
	if len(s.recentLog) == maxRecentLines {
		s.recentLog = s.recentLog[1:]
	}
	s.recentLog = append(s.recentLog, line)
	s.mu.Unlock()
	if strings.Contains(line, statisticsMark) {
		s.discardStatistics()
		s.statistics <- ParseFields(line)
	}
}

// discardStatistics drops statistics that were logged before they were asked for.
func (s *Server) discardStatistics() {
	select {
	case <-s.statistics:
	default:
	}
}

// WaitHealthy waits until the server reports that it is healthy.
func (s *Server) WaitHealthy(ctx context.Context) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); {
		if balancer.IsHealthy(s.Addr, healthTimeout) {
			return nil
		}
		select {
		case <-s.exited:
			return fmt.Errorf("%s ended before it was healthy: %w\n%s",
				s.Name, errors.Join(s.exitErr, ctx.Err()), s.RecentLog())
		case <-time.After(healthPoll):
		}
	}
	return fmt.Errorf("%s was not healthy within %s\n%s", s.Name, timeout, s.RecentLog())
}

// RecentLog returns the latest lines of the server's log.
func (s *Server) RecentLog() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.recentLog, "\n")
}

// Statistics has the server log its statistics, by SIGUSR1, and returns them. They cover the time since the previous
// ones.
func (s *Server) Statistics() (LogFields, error) {
	s.discardStatistics()
	if err := s.Signal(syscall.SIGUSR1); err != nil {
		return nil, fmt.Errorf("ask %s for statistics: %w", s.Name, err)
	}
	select {
	case statistics := <-s.statistics:
		return statistics, nil
	case <-s.exited:
		return nil, fmt.Errorf("%s ended: %w", s.Name, s.exitErr)
	case <-time.After(timeout):
		return nil, fmt.Errorf("%s logged no statistics within %s", s.Name, timeout)
	}
}

// Alive reports whether the process is running.
func (s *Server) Alive() bool {
	select {
	case <-s.exited:
		return false
	default:
		return true
	}
}

// Drain sends SIGTERM, on which the server drains, and waits until the process ends. It returns how long that took, and
// an error if the process failed or did not end in time.
func (s *Server) Drain() (time.Duration, error) {
	start := time.Now()
	if err := s.Signal(syscall.SIGTERM); err != nil {
		return 0, fmt.Errorf("drain %s: %w", s.Name, err)
	}
	select {
	case <-s.exited:
		return time.Since(start), s.exitErr
	case <-time.After(timeout):
		return 0, fmt.Errorf("%s did not end within %s", s.Name, timeout)
	}
}

// close kills the process, closes its fakes and removes its files.
func (s *Server) close() {
	if s.command != nil && s.command.Process != nil {
		s.Kill()
	}
	if s.Executor != nil {
		s.Executor.Close()
	}
	if s.Upstream != nil {
		s.Upstream.Close()
	}
	if s.Registry != nil {
		s.Registry.Close()
	}
	if s.folder != "" {
		_ = os.RemoveAll(s.folder)
	}
}

// CloseAll kills the servers, closes their fakes and removes their files.
func CloseAll(servers []*Server) {
	for _, s := range servers {
		s.close()
	}
}
