// Package kit has the stand-ins of the review's cases: a balancer, a processor, a catalogue and a
// roster, written from the protocol page, and the start and end of the project's own processes.
package kit

import (
	"fmt"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Record writes what was sent, answered and run to a file.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

// NewRecord creates the file.
func NewRecord(path string) *Record {
	file, err := os.Create(path)
	if err != nil {
		Cannot("create the record: %v", err)
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() { Cannot("ended by a signal: %v", <-stopped) }()
	return &Record{file: file, begin: time.Now()}
}

// Add writes one line.
func (r *Record) Add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	line := strings.TrimRight(fmt.Sprintf(format, values...), "\n")
	fmt.Fprintf(r.file, "%9.4f unix_ms=%d %s\n", now.Sub(r.begin).Seconds(), now.UnixMilli(), line)
}

// Say writes one line to the record and to standard output.
func (r *Record) Say(format string, values ...any) {
	r.Add(format, values...)
	fmt.Printf(format+"\n", values...)
}

// Exit codes of a case.
const (
	Held    = 0
	Broken  = 1
	CantRun = 2
)

// Cannot ends the program, as the case could not run.
func Cannot(format string, values ...any) {
	fmt.Printf("could not run: "+format+"\n", values...)
	EndAll()
	os.Exit(CantRun)
}

// Trouble tells whether the disruption is played.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }
