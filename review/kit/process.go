package kit

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// FreeAddress returns an address of the loopback range with a port that is free for TCP and UDP.
func FreeAddress() string {
	for {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			Cannot("no free port: %v", err)
		}
		address := listener.Addr().String()
		packets, err := net.ListenPacket("udp", address)
		_ = listener.Close()
		if err == nil {
			_ = packets.Close()
			return address
		}
	}
}

// Process is one process of the project's own program.
type Process struct {
	Name   string
	cmd    *exec.Cmd
	Ended  chan struct{} // closed once the process has ended
	EndAt  time.Time     // valid once Ended is closed
	ExitIs string        // valid once Ended is closed
}

var (
	processesMu sync.Mutex
	processes   []*Process
)

// runCommand returns the command `run` of the deploy file.
func runCommand(root string) string {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		Cannot("%v", err)
	}
	match := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if match == nil {
		Cannot("the deploy file has no run")
	}
	return string(match[1])
}

// ServerConfig is what a server is told.
type ServerConfig struct {
	Name, Listen, Processor, Roster, Catalog string
	StopMs                                   int
	Settings                                 map[string]any
	Operator                                 string // text of the operator's file, "" for none
	Arguments                                string // appended to the command, "" for a plain server
}

// WriteConfig writes the configuration of a server and returns its path. It replaces an older one.
func WriteConfig(folder string, config *ServerConfig) string {
	object := map[string]any{
		"name": config.Name, "listen": config.Listen, "processor": config.Processor, "roster": config.Roster,
		"seed": strconv.FormatInt(time.Now().UnixNano(), 16), "stop_ms": config.StopMs, "settings": config.Settings,
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
	}
	if config.Catalog != "" {
		object["catalog"] = config.Catalog
	}
	text, _ := json.MarshalIndent(object, "", " ")
	path := filepath.Join(folder, config.Name+".json")
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		Cannot("%v", err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		Cannot("%v", err)
	}
	return path
}

// StartServer starts a server by the command `run` of the deploy file, from the repository's root.
func StartServer(root, folder string, config *ServerConfig, record *Record) *Process {
	path := WriteConfig(folder, config)
	cmd := exec.Command("/bin/sh", "-c", runCommand(root)+config.Arguments)
	cmd.Dir = root
	cmd.Env = append(os.Environ(), "RELAY_NAME="+config.Name, "RELAY_LISTEN="+config.Listen, "RELAY_CONFIG="+path)
	if config.Operator != "" {
		operator := filepath.Join(folder, config.Name+".conf")
		if err := os.WriteFile(operator, []byte(config.Operator), 0o600); err != nil {
			Cannot("%v", err)
		}
		cmd.Env = append(cmd.Env, "SWIFTCOURSE_CONF="+operator)
	}
	reader, writer := io.Pipe()
	cmd.Stdout = writer
	cmd.Stderr = writer
	if err := cmd.Start(); err != nil {
		Cannot("start of %s: %v", config.Name, err)
	}
	p := &Process{Name: config.Name, cmd: cmd, Ended: make(chan struct{})}
	record.Add("start server=%s pid=%d listen=%s", config.Name, cmd.Process.Pid, config.Listen)
	go func() {
		lines := bufio.NewScanner(reader)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			record.Add("log server=%s %s", config.Name, lines.Text())
		}
	}()
	go func() {
		err := cmd.Wait()
		p.EndAt = time.Now()
		p.ExitIs = "0"
		if err != nil {
			p.ExitIs = err.Error()
		}
		record.Add("ended server=%s exit=%s", config.Name, p.ExitIs)
		_ = writer.Close()
		close(p.Ended)
	}()
	processesMu.Lock()
	processes = append(processes, p)
	processesMu.Unlock()
	return p
}

// Signal sends a signal.
func (p *Process) Signal(signal syscall.Signal) { _ = p.cmd.Process.Signal(signal) }

// HasEnded tells whether the process has ended.
func (p *Process) HasEnded() bool {
	select {
	case <-p.Ended:
		return true
	default:
		return false
	}
}

// EndAll kills all processes that were started, and waits for their end.
func EndAll() {
	processesMu.Lock()
	defer processesMu.Unlock()
	for _, p := range processes {
		if !p.HasEnded() {
			p.Signal(syscall.SIGKILL)
			<-p.Ended
		}
	}
}
