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

// Config is how servers are started.
type Config struct {
	Program string // path of the server's binary
	// ProgramOf, if it is not nil, is asked at each start of a server for the path of its binary, by the server's name;
	// "" stands for Program.
	ProgramOf         func(name string) string
	CPU               int // the one that all servers share; negative for no restriction
	Cores             float64
	MemoryMB          int
	Descriptors       int    // the descriptor limit in the server's configuration
	ActualDescriptors int    // the limit set by the system once the server is healthy; 0 for no change
	OperatorFile      string // content of the operator's configuration file; "" for none
	StopTimeout       time.Duration
	Settings          simulator.Settings
	Args              []string // on the command line; none to serve

	Executor executor.Config
	// ExecutorOf, if it is not nil, replaces Executor by server name; OnStart and Result stay those of Executor.
	ExecutorOf func(name string) executor.Config
	// Upstream responds to the servers' upstream calls; with neither it nor UpstreamOf there is no upstream service.
	Upstream func(n int, call catalogue.Call) upstream.Response
	// UpstreamOf, if it is not nil, replaces Upstream and also receives the calling server's name.
	UpstreamOf func(name string, n int, call catalogue.Call) upstream.Response

	// Override, if it is not nil, returns the content of a server's operator file, which replaces OperatorFile, and
	// variables to add to its environment.
	Override func(name string) (operatorFile string, env []string)
	// Log receives the servers' logs, each line after the server's name; nil discards them.
	Log io.Writer
	// OnLogLine, if it is not nil, is called for every line of a server's log as it comes.
	OnLogLine func(name, line string)
}

// program returns the path of a server's binary at its next start.
func (c *Config) program(name string) string {
	if c.ProgramOf != nil {
		if path := c.ProgramOf(name); path != "" {
			return path
		}
	}
	return c.Program
}

// executorConfig returns the executor's configuration for a server.
func (c *Config) executorConfig(name string) executor.Config {
	if c.ExecutorOf == nil {
		return c.Executor
	}
	config := c.ExecutorOf(name)
	config.OnStart = c.Executor.OnStart
	config.Result = c.Executor.Result
	return config
}

// upstreamResponder returns the function that responds to a server's upstream calls; nil if it has no upstream service.
func (c *Config) upstreamResponder(name string) func(n int, call catalogue.Call) upstream.Response {
	if c.UpstreamOf == nil {
		return c.Upstream
	}
	return func(n int, call catalogue.Call) upstream.Response { return c.UpstreamOf(name, n, call) }
}

// serverFile is the JSON configuration that a server reads at its start.
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
	// serverSeed is the seed of every server's random choices.
	serverSeed       = "8c1f30d27a5be964"
	filePermissions  = 0o600
	serverFileName   = "config.json"
	operatorFileName = "swiftcourse.conf"
)

// writeServerFile writes the server's JSON configuration into its folder.
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
		return fmt.Errorf("encode the configuration of %s: %w", s.Name, err)
	}
	s.path = filepath.Join(s.folder, serverFileName)
	return os.WriteFile(s.path, text, filePermissions)
}

// prepareEnvironment writes the operator's file, if there is one, and returns the environment for the process.
func (s *Server) prepareEnvironment() ([]string, error) {
	env := append(os.Environ(), "RELAY_NAME="+s.Name, "RELAY_LISTEN="+s.Addr, "RELAY_CONFIG="+s.path)
	text := s.config.OperatorFile
	if s.config.Override != nil {
		var extra []string
		text, extra = s.config.Override(s.Name)
		env = append(env, extra...)
	}
	if text == "" {
		return env, nil
	}
	path := filepath.Join(s.folder, operatorFileName)
	if err := os.WriteFile(path, []byte(text), filePermissions); err != nil {
		return nil, err
	}
	return append(env, "SWIFTCOURSE_CONF="+path), nil
}
