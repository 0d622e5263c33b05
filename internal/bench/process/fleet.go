// Package process starts real servers as processes, each with stand-ins for all that it speaks with, on loopback.
package process

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"swiftcourse/internal/fake/balancer"
	"swiftcourse/internal/fake/executor"
	"swiftcourse/internal/fake/registry"
	"swiftcourse/internal/fake/upstream"
	wire "swiftcourse/internal/wire/catalogue"
	"swiftcourse/internal/wire/simulator"
)

// Config is how the servers of a fleet are to be.
type Config struct {
	Program           string // the server's binary
	CPU               int    // that all of them share, under 0 where they may use any
	Cores             float64
	MemoryMB          int
	Descriptors       int
	ActualDescriptors int    // descriptors that the system gives a server once it serves; 0 for as many as it was told
	OperatorFile      string // text of the operator's file, "" for none
	StopTimeout       time.Duration
	Settings          simulator.Settings
	Executor          executor.Config
	ExecutorOf        func(name string) executor.Config                       // in place of it, by server; nil for not
	Upstream          func(n int, c wire.Call) upstream.Response              // nil at the last tier
	UpstreamOf        func(name string, n int, c wire.Call) upstream.Response // in place of it, by server
	Log               io.Writer                                               // what the servers say, nil where nobody reads it
	Override          func(name string) (conf string, env []string)           // what one of them has in place of Conf, and in its environment; nil for nothing of its own
	Args              []string                                                // of its command line; none to serve
	OnLogLine         func(name, line string)                                 // every line of a server's log as it comes; nil where nobody listens
}

// Server is one server with its stand-ins.
type Server struct {
	Name     string
	Addr     string
	Executor *executor.Server
	Upstream *upstream.Server
	Registry *registry.Server

	shape   Config
	path    string // of its configuration
	process *exec.Cmd
	folder  string
	ended   chan struct{}
	end     error
	counts  chan map[string]string
	mu      sync.Mutex
	last    []string // the latest lines of its log
}

// patience is how long a server may take to start, to answer a question or to end.
const patience = 20 * time.Second

// Start starts n servers and waits until they are healthy.
func Start(ctx context.Context, n int, shape Config) (servers []*Server, err error) {
	defer func() {
		if err != nil {
			CloseAll(servers)
		}
	}()
	for i := range n {
		s, err := start(ctx, fmt.Sprintf("n%d", i+1), shape)
		if err != nil {
			return servers, err
		}
		servers = append(servers, s)
	}
	for _, s := range servers {
		if err := s.WaitHealthy(ctx); err != nil {
			return servers, err
		}
		if shape.ActualDescriptors > 0 { // lowered while it serves, so that it counts on more
			limit := unix.Rlimit{Cur: uint64(shape.ActualDescriptors), Max: uint64(shape.ActualDescriptors)}
			if err := unix.Prlimit(s.process.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
				return servers, err
			}
		}
	}
	return servers, nil
}

// Launch starts one server under a name and waits for nothing.
func Launch(ctx context.Context, name string, shape Config) (*Server, error) {
	return start(ctx, name, shape)
}

func start(ctx context.Context, name string, shape Config) (s *Server, err error) {
	s = &Server{Name: name, shape: shape, ended: make(chan struct{}), counts: make(chan map[string]string, 1)}
	defer func() {
		if err != nil {
			s.close()
		}
	}()
	if shape.ExecutorOf != nil {
		begun, result := shape.Executor.OnStart, shape.Executor.Result
		shape.Executor = shape.ExecutorOf(name)
		shape.Executor.OnStart, shape.Executor.Result = begun, result
	}
	if s.Executor, err = executor.Start("127.0.0.2:0", shape.Executor); err != nil {
		return nil, err
	}
	if s.Registry, err = registry.Start("127.0.0.3:0", nil); err != nil {
		return nil, err
	}
	catalog := ""
	fate := shape.Upstream
	if shape.UpstreamOf != nil {
		fate = func(n int, c wire.Call) upstream.Response { return shape.UpstreamOf(name, n, c) }
	}
	if fate != nil {
		if s.Upstream, err = upstream.Start("127.0.0.4:0", fate); err != nil {
			return nil, err
		}
		catalog = s.Upstream.Addr()
	}
	if s.Addr, err = free(); err != nil {
		return nil, err
	}
	if s.folder, err = os.MkdirTemp("", "swiftcourse-bench-"); err != nil {
		return nil, err
	}
	text, err := json.Marshal(map[string]any{"name": name, "listen": s.Addr, "processor": s.Executor.Addr(),
		"roster": s.Registry.Addr(), "catalog": catalog, "seed": "8c1f30d27a5be964", "stop_ms": shape.StopTimeout.Milliseconds(),
		"limits":   map[string]any{"cores": shape.Cores, "memory_mb": shape.MemoryMB, "sockets": shape.Descriptors},
		"settings": shape.Settings})
	if err != nil {
		return nil, err
	}
	s.path = filepath.Join(s.folder, "config.json")
	if err = os.WriteFile(s.path, text, 0o600); err != nil {
		return nil, err
	}
	return s, s.launch(ctx)
}

// launch starts the process.
func (s *Server) launch(ctx context.Context) error {
	s.process = exec.CommandContext(ctx, s.shape.Program, s.shape.Args...)
	s.process.Env = append(os.Environ(), "RELAY_NAME="+s.Name, "RELAY_LISTEN="+s.Addr, "RELAY_CONFIG="+s.path)
	text := s.shape.OperatorFile
	if s.shape.Override != nil {
		var env []string
		text, env = s.shape.Override(s.Name)
		s.process.Env = append(s.process.Env, env...)
	}
	if text != "" {
		conf := filepath.Join(s.folder, "swiftcourse.conf")
		if err := os.WriteFile(conf, []byte(text), 0o600); err != nil {
			return err
		}
		s.process.Env = append(s.process.Env, "SWIFTCOURSE_CONF="+conf)
	}
	said, err := s.process.StderrPipe()
	if err != nil {
		return err
	}
	if err = onCore(s.shape.CPU, s.process.Start); err != nil {
		return fmt.Errorf("%s: %w (make build makes it)", s.shape.Program, err)
	}
	go s.listen(s.process, s.ended, said, s.shape.Log)
	return nil
}

// Signal sends its process a signal; SIGKILL, SIGSTOP and SIGCONT are what tests send.
func (s *Server) Signal(sig syscall.Signal) error { return s.process.Process.Signal(sig) }

// Kill ends its process at once and waits for that.
func (s *Server) Kill() {
	_ = s.process.Process.Kill() // it is gone where this fails
	<-s.ended
}

// Restart starts it again, cold, under its name and at its address; it has to have ended.
func (s *Server) Restart(ctx context.Context) error {
	s.ended = make(chan struct{})
	return s.launch(ctx)
}

// given are the addresses that free gave out, so that fleets that start at once get different ones.
var given sync.Map

// free finds an address that nobody listens on. It is not where connections are dialled from, so nobody takes it by chance.
func free() (string, error) {
	for {
		l, err := net.Listen("tcp", "127.0.0.9:0")
		if err != nil {
			return "", err
		}
		addr := l.Addr().String()
		_ = l.Close()
		if _, taken := given.LoadOrStore(addr, true); !taken {
			return addr, nil
		}
	}
}

// onCore starts a process that may use one core alone: it inherits what the thread that starts it may use.
func onCore(core int, start func() error) error {
	if core < 0 {
		return start()
	}
	done := make(chan error)
	go func() {
		runtime.LockOSThread() // and not unlocked: the thread ends with the goroutine
		var set unix.CPUSet
		set.Set(core)
		if err := unix.SchedSetaffinity(0, &set); err != nil {
			done <- fmt.Errorf("core %d: %w", core, err)
			return
		}
		done <- start()
	}()
	return <-done
}

// AvoidCPU keeps this process, and those that it starts from then on, off a core, so that what is measured there is the
// servers' alone. A negative core, or a machine with no other, changes nothing.
func AvoidCPU(core int) error {
	var set unix.CPUSet
	if err := unix.SchedGetaffinity(0, &set); err != nil {
		return err
	}
	if core < 0 || !set.IsSet(core) || set.Count() < 2 {
		return nil
	}
	set.Clear(core)
	threads, err := os.ReadDir("/proc/self/task") // new threads take it over from these
	if err != nil {
		return err
	}
	for _, t := range threads {
		id, err := strconv.Atoi(t.Name())
		if err != nil {
			return err
		}
		if err := unix.SchedSetaffinity(id, &set); err != nil && !errors.Is(err, unix.ESRCH) { // one that has ended
			return err
		}
	}
	return nil
}

// maxLines of a server's log are kept for the error when it ends before its time.
const maxLines = 20

func (s *Server) listen(process *exec.Cmd, ended chan struct{}, said io.Reader, log io.Writer) {
	lines := bufio.NewScanner(said)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		line := lines.Text()
		if log != nil {
			fmt.Fprintf(log, "%s %s\n", s.Name, line)
		}
		if s.shape.OnLogLine != nil {
			s.shape.OnLogLine(s.Name, line)
		}
		s.mu.Lock()
		if len(s.last) == maxLines {
			s.last = s.last[1:]
		}
		s.last = append(s.last, line)
		s.mu.Unlock()
		if strings.Contains(line, "event=statistics ") {
			select {
			case <-s.counts: // nobody asked for that one
			default:
			}
			s.counts <- ParseFields(line)
		}
	}
	s.end = process.Wait()
	close(ended)
}

// ParseFields reads the key=value words of a line.
func ParseFields(line string) map[string]string {
	all := map[string]string{}
	for _, word := range strings.Fields(line) {
		if key, value, ok := strings.Cut(word, "="); ok {
			all[key] = value
		}
	}
	return all
}

// WaitHealthy waits until it says that it is.
func (s *Server) WaitHealthy(ctx context.Context) error {
	for end := time.Now().Add(patience); time.Now().Before(end); {
		if balancer.IsHealthy(s.Addr, time.Second) {
			return nil
		}
		select {
		case <-s.ended:
			return fmt.Errorf("%s ended before it was healthy: %w\n%s", s.Name, errors.Join(s.end, ctx.Err()), s.RecentLog())
		case <-time.After(20 * time.Millisecond):
		}
	}
	return fmt.Errorf("%s was not healthy within %s\n%s", s.Name, patience, s.RecentLog())
}

// RecentLog gives the latest lines of its log.
func (s *Server) RecentLog() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.last, "\n")
}

// Statistics asks for the line of counts, which has the time since the one before.
func (s *Server) Statistics() (map[string]string, error) {
	select {
	case <-s.counts:
	default:
	}
	if err := s.process.Process.Signal(syscall.SIGUSR1); err != nil {
		return nil, err
	}
	select {
	case c := <-s.counts:
		return c, nil
	case <-s.ended:
		return nil, fmt.Errorf("%s ended: %w", s.Name, s.end)
	case <-time.After(patience):
		return nil, fmt.Errorf("%s told no counts within %s", s.Name, patience)
	}
}

// Number reads a number of the counts, 0 where it is not there.
func Number(counts map[string]string, key string) float64 {
	n, _ := strconv.ParseFloat(counts[key], 64)
	return n
}

// Alive tells whether the process has not ended.
func (s *Server) Alive() bool {
	select {
	case <-s.ended:
		return false
	default:
		return true
	}
}

// ResidentBytes is its memory in bytes, as the system counts it.
func (s *Server) ResidentBytes() (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", s.process.Process.Pid))
	if err != nil {
		return 0, err
	}
	var all, resident int64
	if _, err := fmt.Sscan(string(text), &all, &resident); err != nil {
		return 0, err
	}
	return resident * int64(os.Getpagesize()), nil
}

// ticksPerSecond is in what the system tells a process's time: a hundredth of a second on every Linux.
const ticksPerSecond = 100

// CPUSeconds is how many seconds of a core it has used.
func (s *Server) CPUSeconds() (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", s.process.Process.Pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(text), ") ") // its name may hold blanks
	words := strings.Fields(rest)
	if len(words) < 13 {
		return 0, errors.New("stat is cut")
	}
	user, err1 := strconv.ParseFloat(words[11], 64)
	system, err2 := strconv.ParseFloat(words[12], 64)
	return (user + system) / ticksPerSecond, errors.Join(err1, err2)
}

// Drain tells it to leave and waits for its end, whose error it returns. It tells how long that took.
func (s *Server) Drain() (time.Duration, error) {
	from := time.Now()
	if err := s.process.Process.Signal(syscall.SIGTERM); err != nil {
		return 0, err
	}
	select {
	case <-s.ended:
		return time.Since(from), s.end
	case <-time.After(patience):
		return 0, fmt.Errorf("%s did not leave within %s", s.Name, patience)
	}
}

func (s *Server) close() {
	if s.process != nil && s.process.Process != nil {
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
	_ = os.RemoveAll(s.folder)
}

// CloseAll ends servers at once.
func CloseAll(servers []*Server) {
	for _, s := range servers {
		s.close()
	}
}
