package kit2

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Roster is a roster. Balancers see its list 1.5 s late.
type Roster struct {
	Addr string

	mu     sync.Mutex
	on     map[string]bool
	seen   map[string]time.Time // the last report, by name
	lists  []list
	record *Record
}

type list struct {
	at    time.Time
	names []string
}

const (
	rosterLapse = 3 * time.Second         // after its last report a server is off the list
	rosterLag   = 1500 * time.Millisecond // by which balancers see changes late
)

// StartRoster starts a roster that takes every report.
func StartRoster(record *Record) (*Roster, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Roster{Addr: listener.Addr().String(), on: map[string]bool{}, seen: map[string]time.Time{}, record: record}
	go func() { _ = http.Serve(listener, http.HandlerFunc(r.take)) }()
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			r.mu.Lock()
			r.lists = append(r.lists, list{time.Now(), r.listed()})
			r.mu.Unlock()
		}
	}()
	return r, nil
}

func (r *Roster) take(w http.ResponseWriter, request *http.Request) {
	body, _ := io.ReadAll(request.Body)
	name := strings.TrimPrefix(request.URL.Path, "/roster/")
	on := strings.Contains(string(body), `"on"`)
	r.mu.Lock()
	if was, known := r.on[name]; !known || was != on {
		r.record.Printf("roster: %s reports on: %t", name, on)
	}
	r.on[name] = on
	r.seen[name] = time.Now()
	r.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// listed returns the servers that take work. The caller holds the lock.
func (r *Roster) listed() (names []string) {
	for name, on := range r.on {
		if on && time.Since(r.seen[name]) < rosterLapse {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// List returns the servers that take work, as balancers see it.
func (r *Roster) List() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := len(r.lists) - 1; i >= 0; i-- {
		if time.Since(r.lists[i].at) >= rosterLag {
			return r.lists[i].names
		}
	}
	return nil
}

// StartCatalogue starts a catalogue. delay says how long a call takes; it may be called from many goroutines.
func StartCatalogue(delay func() time.Duration) (addr string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveCatalogue(conn, delay)
		}
	}()
	return listener.Addr().String(), nil
}

func serveCatalogue(conn net.Conn, delay func() time.Duration) {
	in := bufio.NewReader(conn)
	var mu sync.Mutex
	quit := map[string]bool{}
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		f := strings.Fields(line)
		if len(f) == 2 && f[0] == "QUIT" {
			mu.Lock()
			quit[f[1]] = true
			mu.Unlock()
			continue
		}
		if len(f) != 4 || f[0] != "FETCH" {
			_ = conn.Close()
			return
		}
		size, _ := strconv.Atoi(f[3])
		if _, err := io.CopyN(io.Discard, in, int64(size)+2); err != nil {
			return
		}
		wait, _ := strconv.Atoi(f[2])
		limit := time.Duration(wait) * time.Millisecond
		id, took := f[1], delay()
		time.AfterFunc(min(took, limit), func() {
			mu.Lock()
			defer mu.Unlock()
			switch {
			case quit[id]:
			case took > limit:
				fmt.Fprintf(conn, "%s TOOSLOW\r\n", id)
			default:
				reply := "reply to " + id
				fmt.Fprintf(conn, "%s DATA %d\r\n%s\r\n", id, len(reply), reply)
			}
		})
	}
}

// Server is one of the project's servers, a process started by the command of the deploy file.
type Server struct {
	Name, Addr string
	Env        []string
	Config     map[string]any // the configuration, see DEPLOY.md
	Conf       string         // the operator's file, "" for none
	Args       string         // words after the command, such as " forward"

	folder string
	cmd    *exec.Cmd
	done   chan struct{}
}

// FreeAddr returns a loopback address whose port is free for TCP and UDP.
func FreeAddr() string {
	for {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		addr := l.Addr().String()
		u, err := net.ListenPacket("udp", addr)
		_ = l.Close()
		if err == nil {
			_ = u.Close()
			return addr
		}
	}
}

// RunCommand returns the command of the deploy file that starts a server.
func RunCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	if err != nil {
		return "", err
	}
	m := regexp.MustCompile(`(?m)^run = "(.*)"`).FindSubmatch(text)
	if m == nil {
		return "", fmt.Errorf("deploy/balancer.toml names no run")
	}
	return string(m[1]), nil
}

// Start starts the process. Its files and its log are in a folder of its own under temp.
func (s *Server) Start(root, temp string) error {
	command, err := RunCommand(root)
	if err != nil {
		return err
	}
	s.folder = filepath.Join(temp, s.Name)
	private := filepath.Join(s.folder, "tmp")
	if err := os.MkdirAll(private, 0o700); err != nil {
		return err
	}
	text, err := json.Marshal(s.Config)
	if err != nil {
		return err
	}
	config := filepath.Join(s.folder, "config.json")
	if err := os.WriteFile(config, text, 0o600); err != nil {
		return err
	}
	s.cmd = exec.Command("/bin/sh", "-c", command+s.Args)
	s.cmd.Dir = root
	s.cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "RELAY_NAME=" + s.Name, "RELAY_LISTEN=" + s.Addr,
		"RELAY_CONFIG=" + config, "TMPDIR=" + private}, s.Env...)
	if s.Conf != "" {
		conf := filepath.Join(s.folder, "swiftcourse.conf")
		if err := os.WriteFile(conf, []byte(s.Conf), 0o600); err != nil {
			return err
		}
		s.cmd.Env = append(s.cmd.Env, "SWIFTCOURSE_CONF="+conf)
	}
	log, err := os.OpenFile(filepath.Join(s.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	s.cmd.Stdout, s.cmd.Stderr = log, log
	if err := s.cmd.Start(); err != nil {
		return err
	}
	s.done = make(chan struct{})
	go func() {
		_ = s.cmd.Wait()
		_ = log.Close()
		close(s.done)
	}()
	return nil
}

// Signal sends the process a signal.
func (s *Server) Signal(number syscall.Signal) { _ = s.cmd.Process.Signal(number) }

// Ended reports whether the process has ended.
func (s *Server) Ended() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// WaitEnd waits for the end of the process, and reports whether it ended in time.
func (s *Server) WaitEnd(timeout time.Duration) bool {
	select {
	case <-s.done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Kill ends the process at once.
func (s *Server) Kill() {
	if s.cmd != nil && s.cmd.Process != nil && s.done != nil {
		_ = s.cmd.Process.Kill()
		<-s.done
	}
}

// Log returns the lines of the log that contain a text.
func (s *Server) Log(text string) (lines []string) {
	log, _ := os.ReadFile(filepath.Join(s.folder, "log"))
	for _, line := range strings.Split(string(log), "\n") {
		if line != "" && strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}

// WaitHealthy waits until the server answers a health check with true.
func (s *Server) WaitHealthy(timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if Healthy(s.Addr) {
			return true
		}
	}
	return false
}

// Main runs a case: play returns whether the rule was broken, and in a few words what was seen. The process
// ends with 1 if it was broken, 0 if it held, and 2 if the case could not run.
func Main(play func(c *Case) (broken bool, seen string, err error)) {
	os.Exit(runMain(play))
}

// Case is what a case is given.
type Case struct {
	Root, Temp string
	Trouble    bool
	Record     *Record
	servers    []*Server
}

// StartServer starts a server, which is ended with the case.
func (c *Case) StartServer(s *Server) error {
	c.servers = append(c.servers, s)
	return s.Start(c.Root, c.Temp)
}

func runMain(play func(c *Case) (bool, string, error)) int {
	folder := os.Args[1]
	root, err := filepath.Abs(filepath.Join(folder, "../.."))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	record, err := NewRecord(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(temp) }()
	c := &Case{Root: root, Temp: temp, Trouble: os.Getenv("TROUBLE") != "0", Record: record}
	defer func() {
		for _, s := range c.servers {
			s.Kill()
		}
	}()
	type outcome struct {
		broken bool
		seen   string
		err    error
	}
	done := make(chan outcome, 1)
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		broken, seen, err := play(c)
		done <- outcome{broken, seen, err}
	}()
	var o outcome
	select {
	case o = <-done:
	case <-stopped:
		o.err = fmt.Errorf("stopped by a signal")
	case <-time.After(115 * time.Second):
		o.err = fmt.Errorf("the case took over 115 s")
	}
	switch {
	case o.err != nil:
		record.Printf("could not run: %v", o.err)
		fmt.Println("could not run:", o.err)
		return 2
	case o.broken:
		record.Printf("BROKEN: %s", o.seen)
		fmt.Println("BROKEN:", o.seen)
		return 1
	}
	record.Printf("held: %s", o.seen)
	fmt.Println("held:", o.seen)
	return 0
}

// Pid returns the process's id.
func (s *Server) Pid() int { return s.cmd.Process.Pid }
