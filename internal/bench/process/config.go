package process

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"swiftcourse/internal/fake/executor"
	"swiftcourse/internal/fake/upstream"
	"swiftcourse/internal/wire/catalogue"
	"swiftcourse/internal/wire/simulator"
)

// Config describes how servers are started.
type Config struct {
	Program string // path of the server's binary
	// ProgramFor, unless it is nil, is called at each start of a server and returns the path of the
	// server's binary; if it returns "", Program is used.
	ProgramFor        func(name string) string
	CPU               int     // the CPU that all servers run on; negative for any
	Cores             float64 // Cores and MemoryMB are the limits in the server's configuration
	MemoryMB          int
	Descriptors       int           // descriptor limit in the server's configuration
	ActualDescriptors int           // descriptor limit that Start sets for a healthy process; 0 for no change
	OperatorFile      string        // content of the operator's configuration file; "" for no file
	StopTimeout       time.Duration // stop_ms in the server's configuration: from SIGTERM to the kill
	Settings          simulator.Settings
	Args              []string // command-line arguments; without any, the program serves requests

	Executor executor.Config
	// ExecutorFor, unless it is nil, returns the executor configuration of a server, which replaces
	// Executor except for OnStart and Result.
	ExecutorFor func(name string) executor.Config
	// Upstream responds to the servers' upstream calls. If both it and UpstreamFor are nil, there is
	// no upstream service.
	Upstream func(n int, call catalogue.Call) upstream.Response
	// UpstreamFor, unless it is nil, replaces Upstream and also receives the name of the calling
	// server.
	UpstreamFor func(name string, n int, call catalogue.Call) upstream.Response

	// OverrideFor, unless it is nil, returns the content of a server's operator file, which replaces
	// OperatorFile, and environment variables to add.
	OverrideFor func(name string) (operatorFile string, env []string)
	// Log receives the servers' logs, each line prefixed with the server's name; nil discards them.
	Log io.Writer
	// OnLogLine, unless it is nil, is called for each line of a server's log when it is written.
	OnLogLine func(name, line string)
}

// program returns the path of the binary for the next start of a server.
func (c *Config) program(name string) string {
	if c.ProgramFor != nil {
		if path := c.ProgramFor(name); path != "" {
			return path
		}
	}
	return c.Program
}

// executorConfig returns the configuration of a server's executor.
func (c *Config) executorConfig(name string) executor.Config {
	if c.ExecutorFor == nil {
		return c.Executor
	}
	config := c.ExecutorFor(name)
	config.OnStart = c.Executor.OnStart
	config.Result = c.Executor.Result
	return config
}

// upstreamResponder returns the function that responds to a server's upstream calls, or nil if
// there is no upstream service.
func (c *Config) upstreamResponder(name string) func(n int, call catalogue.Call) upstream.Response {
	if c.UpstreamFor == nil {
		return c.Upstream
	}
	return func(n int, call catalogue.Call) upstream.Response { return c.UpstreamFor(name, n, call) }
}

// serverFile is the JSON configuration file that a server reads at startup.
type serverFile struct {
	Name        string             `json:"name"`
	Listen      string             `json:"listen"`
	Executor    string             `json:"processor"`
	Registry    string             `json:"roster"`
	Upstream    string             `json:"catalog"`
	Seed        string             `json:"seed"`
	StopTimeout int64              `json:"stop_ms"`
	Limits      serverLimits       `json:"limits"`
	Settings    simulator.Settings `json:"settings"`
}

type serverLimits struct {
	Cores       float64 `json:"cores"`
	MemoryMB    int     `json:"memory_mb"`
	Descriptors int     `json:"sockets"`
}

const (
	// serverSeed seeds the random choices of every server.
	serverSeed       = "8c1f30d27a5be964"
	filePermissions  = 0o600
	serverFileName   = "config.json"
	operatorFileName = "swiftcourse.conf"
)

// writeServerFile writes the server's JSON configuration file.
func (s *Server) writeServerFile() error {
	file := serverFile{
		Name:        s.Name,
		Listen:      s.Addr,
		Executor:    s.Executor.Addr(),
		Registry:    s.Registry.Addr(),
		Seed:        serverSeed,
		StopTimeout: s.config.StopTimeout.Milliseconds(),
		Limits: serverLimits{
			Cores:       s.config.Cores,
			MemoryMB:    s.config.MemoryMB,
			Descriptors: s.config.Descriptors,
		},
		Settings: s.config.Settings,
	}
	if s.Upstream != nil {
		file.Upstream = s.Upstream.Addr()
	}
	text, err := json.Marshal(file)
	if err != nil {
		return fmt.Errorf("encode the configuration of server %s: %w", s.Name, err)
	}
	s.configPath = filepath.Join(s.dir, serverFileName)
	return os.WriteFile(s.configPath, text, filePermissions)
}

// prepareEnvironment writes the operator's file, if it has any content, and returns the environment
// for the process.
func (s *Server) prepareEnvironment() ([]string, error) {
	env := append(os.Environ(), "RELAY_NAME="+s.Name, "RELAY_LISTEN="+s.Addr, "RELAY_CONFIG="+s.configPath)
	text := s.config.OperatorFile
	if s.config.OverrideFor != nil {
		var extra []string
		text, extra = s.config.OverrideFor(s.Name)
		env = append(env, extra...)
	}
	if text == "" {
		return env, nil
	}
	path := filepath.Join(s.dir, operatorFileName)
	if err := os.WriteFile(path, []byte(text), filePermissions); err != nil {
		return nil, err
	}
	return append(env, "SWIFTCOURSE_CONF="+path), nil
}
