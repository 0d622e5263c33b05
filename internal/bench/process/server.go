// Package process starts real servers as processes on loopback, each with fakes of the services
// that it depends on.
//
// The caller owns the servers that it starts and ends them with CloseAll. A Server's methods may be
// called from any goroutine, except Restart, which must not run concurrently with any other method
// of that server.
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

// Server is a server process with its fakes.
type Server struct {
	Name     string
	Addr     string
	Executor *executor.Server
	Upstream *upstream.Server // nil if no upstream service is configured
	Registry *registry.Server

	config     Config
	configPath string // path of the JSON configuration
	dir        string // directory of the server's files
	command    *exec.Cmd
	exited     chan struct{} // closed after the process has ended and exitErr is set
	exitErr    error
	statistics chan LogFields // the latest statistics not yet returned by Statistics

	mu        sync.Mutex
	recentLog []string
}

const (
	// serverTimeout bounds the time in which a server becomes healthy, logs its statistics or drains.
	serverTimeout      = 20 * time.Second
	healthTimeout      = time.Second
	healthPollInterval = 20 * time.Millisecond
	dirPattern         = "swiftcourse-bench-"
	maxLogLineBytes    = 1 << 20
	maxRecentLogLines  = 20 // latest log lines kept for error messages

	// The fakes and the servers listen on different loopback addresses. Outgoing connections use
	// 127.0.0.1, so none can take a port that freeAddress has chosen for a server.
	executorAddress = "127.0.0.2:0"
	registryAddress = "127.0.0.3:0"
	upstreamAddress = "127.0.0.4:0"
	serverAddress   = "127.0.0.9:0"
)

// Start starts n servers, named n1, n2 and so on, and waits until they are healthy. On an error it
// closes all of them.
func Start(ctx context.Context, n int, config Config) (servers []*Server, err error) {
	defer func() {
		if err != nil {
			CloseAll(servers)
		}
	}()
	for i := range n {
		s, err := StartOne(ctx, fmt.Sprintf("n%d", i+1), config)
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

// StartOne starts one server with the given name. It does not wait for the server to become healthy.
func StartOne(ctx context.Context, name string, config Config) (*Server, error) {
	s := &Server{Name: name, config: config, statistics: make(chan LogFields, 1)}
	if err := s.prepare(); err != nil {
		s.close()
		return nil, fmt.Errorf("prepare server %s: %w", name, err)
	}
	if err := s.startProcess(ctx); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

// prepare starts the fakes, chooses an address for the server and writes its configuration.
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
	if s.dir, err = os.MkdirTemp("", dirPattern); err != nil {
		return err
	}
	return s.writeServerFile()
}

// startProcess starts the server process and the reading of its log.
func (s *Server) startProcess(ctx context.Context) error {
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
		return fmt.Errorf("start server %s from %s: %w (run make build to build it)", s.Name, program, err)
	}
	go s.readLog(s.command, s.exited, stderr)
	return nil
}

// lowerDescriptorLimit sets the process's descriptor limit to ActualDescriptors, so that the limit
// in the server's configuration is too high.
func (s *Server) lowerDescriptorLimit() error {
	if s.config.ActualDescriptors <= 0 {
		return nil
	}
	limit := unix.Rlimit{Cur: uint64(s.config.ActualDescriptors), Max: uint64(s.config.ActualDescriptors)}
	if err := unix.Prlimit(s.command.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		return fmt.Errorf("set the descriptor limit of server %s to %d: %w", s.Name, s.config.ActualDescriptors, err)
	}
	return nil
}

// Signal sends a signal to the process.
func (s *Server) Signal(signal syscall.Signal) error { return s.command.Process.Signal(signal) }

// Kill kills the process and waits until it has ended.
func (s *Server) Kill() {
	_ = s.command.Process.Kill() // fails only if the process has ended
	<-s.exited
}

// Restart starts the server again with the same name and address, but without its state. The
// previous process must have ended.
func (s *Server) Restart(ctx context.Context) error { return s.startProcess(ctx) }

// assignedAddresses are the addresses that freeAddress has returned. A server may not have started
// to listen on its address yet when the next one is chosen.
var assignedAddresses sync.Map

// freeAddress returns an address on which no process listens and that no server was given before.
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

// readLog reads the log until the process ends, and then sets exitErr and closes exited.
func (s *Server) readLog(command *exec.Cmd, exited chan struct{}, stderr io.Reader) {
	lines := bufio.NewScanner(stderr)
	lines.Buffer(nil, maxLogLineBytes)
	for lines.Scan() {
		s.handleLogLine(lines.Text())
	}
	s.exitErr = command.Wait()
	close(exited)
}

// handleLogLine passes a line to Config.Log and Config.OnLogLine and adds it to the recent log. If
// the line has statistics, it makes them available to Statistics.
func (s *Server) handleLogLine(line string) {
	if s.config.Log != nil {
		fmt.Fprintf(s.config.Log, "%s %s\n", s.Name, line)
	}
	if s.config.OnLogLine != nil {
		s.config.OnLogLine(s.Name, line)
	}
	s.mu.Lock()
	if len(s.recentLog) == maxRecentLogLines {
		s.recentLog = s.recentLog[1:]
	}
	s.recentLog = append(s.recentLog, line)
	s.mu.Unlock()
	if strings.Contains(line, statisticsMarker) {
		s.discardStatistics()
		s.statistics <- ParseLogFields(line)
	}
}

// discardStatistics drops statistics that have not been returned by Statistics.
func (s *Server) discardStatistics() {
	select {
	case <-s.statistics:
	default:
	}
}

// WaitHealthy waits until the server answers a health check that it is healthy.
func (s *Server) WaitHealthy(ctx context.Context) error {
	for deadline := time.Now().Add(serverTimeout); time.Now().Before(deadline); {
		if balancer.IsHealthy(s.Addr, healthTimeout) {
			return nil
		}
		select {
		case <-s.exited:
			return fmt.Errorf("server %s exited before it was healthy: %w\n%s",
				s.Name, errors.Join(s.exitErr, ctx.Err()), s.RecentLog())
		case <-time.After(healthPollInterval):
		}
	}
	return fmt.Errorf("server %s did not become healthy within %s\n%s", s.Name, serverTimeout, s.RecentLog())
}

// RecentLog returns the latest lines of the server's log, at most maxRecentLogLines.
func (s *Server) RecentLog() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.recentLog, "\n")
}

// Statistics makes the server log its statistics, with SIGUSR1, and returns them. They cover the
// time since the previous statistics.
func (s *Server) Statistics() (LogFields, error) {
	s.discardStatistics()
	if err := s.Signal(syscall.SIGUSR1); err != nil {
		return nil, fmt.Errorf("request statistics of server %s: %w", s.Name, err)
	}
	select {
	case statistics := <-s.statistics:
		return statistics, nil
	case <-s.exited:
		return nil, fmt.Errorf("server %s exited before it logged its statistics: %w", s.Name, s.exitErr)
	case <-time.After(serverTimeout):
		return nil, fmt.Errorf("server %s logged no statistics within %s", s.Name, serverTimeout)
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

// Drain drains the server with SIGTERM and waits until the process exits. It returns the time that
// this took, or an error if the process failed or did not exit in time.
func (s *Server) Drain() (time.Duration, error) {
	start := time.Now()
	if err := s.Signal(syscall.SIGTERM); err != nil {
		return 0, fmt.Errorf("drain server %s: %w", s.Name, err)
	}
	select {
	case <-s.exited:
		return time.Since(start), s.exitErr
	case <-time.After(serverTimeout):
		return 0, fmt.Errorf("server %s did not exit within %s of SIGTERM", s.Name, serverTimeout)
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
	if s.dir != "" {
		_ = os.RemoveAll(s.dir)
	}
}

// CloseAll kills the servers, closes their fakes and removes their files.
func CloseAll(servers []*Server) {
	for _, s := range servers {
		s.close()
	}
}
