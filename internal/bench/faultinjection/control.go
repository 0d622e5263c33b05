package faultinjection

import (
	"context"
	"fmt"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"swiftcourse/internal/bench/process"
	"swiftcourse/internal/fleet"
	"swiftcourse/internal/policy/release"
)

const (
	// restartTimeout is how long a restarted process may take to join the fleet.
	restartTimeout = 20 * time.Second
	// waitInterval is the time between two checks of WaitUntil.
	waitInterval = 50 * time.Millisecond
)

// WaitUntil waits until a condition holds, and reports whether it held within the timeout.
func WaitUntil(timeout time.Duration, condition func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(waitInterval) {
		if condition() {
			return true
		}
	}
	return condition()
}

// Pause stops a process with SIGSTOP.
func (f *Fleet) Pause(name string) error { return f.Server(name).Signal(syscall.SIGSTOP) }

// Resume continues a paused process with SIGCONT.
func (f *Fleet) Resume(name string) error { return f.Server(name).Signal(syscall.SIGCONT) }

// CutIncoming cuts all links to a process. It can still send.
func (f *Fleet) CutIncoming(name string) {
	for _, from := range f.Names {
		f.Net.SetLink(from, name, Link{Cut: true})
	}
}

// SetAllLinks sets the links between all processes.
func (f *Fleet) SetAllLinks(link Link) {
	for _, to := range f.Names {
		for _, from := range f.Names {
			f.Net.SetLink(from, to, link)
		}
	}
}

// KillAndRestart kills a process and restarts it without its state.
func (f *Fleet) KillAndRestart(ctx context.Context, name string) error {
	f.Server(name).Kill()
	return f.Restart(ctx, name)
}

// Restart starts a process that has ended, and waits until it logs EventFleetStarted.
func (f *Fleet) Restart(ctx context.Context, name string) error {
	f.mu.Lock()
	f.firstEventIndex[name] = len(f.events) // the process has ended, and its log has been read to the end
	f.mu.Unlock()
	if err := f.Server(name).Restart(ctx); err != nil {
		return fmt.Errorf("restart %s: %w", name, err)
	}
	hasStarted := func() bool { return f.LastEvent(name, EventFleetStarted).Event != "" }
	if !WaitUntil(restartTimeout, hasStarted) {
		return fmt.Errorf("%s did not log %s within %s of its restart", name, EventFleetStarted, restartTimeout)
	}
	return nil
}

// Replace drains a process and restarts it under the same name with another binary.
func (f *Fleet) Replace(ctx context.Context, name, program string) error {
	if _, err := f.Server(name).Drain(); err != nil {
		return fmt.Errorf("drain %s: %w", name, err)
	}
	f.SetProgram(name, program)
	if err := f.Restart(ctx, name); err != nil {
		return err
	}
	return f.CheckProgramFolder(name, program)
}

// CheckProgramFolder returns an error unless a process runs a binary from the folder of the given
// program. Only the folders are compared, since the program may have executed another binary of its
// build.
func (f *Fleet) CheckProgramFolder(name, program string) error {
	running, err := f.Server(name).Executable()
	if err != nil {
		return fmt.Errorf("binary of %s: %w", name, err)
	}
	folder, err := filepath.EvalSymlinks(filepath.Dir(program))
	if err != nil {
		return err
	}
	if folder, err = filepath.Abs(folder); err != nil {
		return err
	}
	if filepath.Dir(running) != folder {
		return fmt.Errorf("%s runs %s, want a binary from %s", name, running, folder)
	}
	return nil
}

// StartDuplicate starts a second process with the name of a server and other addresses. It gets no
// lease, so it never becomes healthy.
func (f *Fleet) StartDuplicate(ctx context.Context, name string) (*process.Server, error) {
	processConfig := f.ProcessConfig
	gossipAddr := f.nextAddr()
	controlAddr := f.nextAddr()
	processConfig.OverrideFor = func(string) (string, []string) {
		settings, environment := f.processSettings(name)
		settings = strings.ReplaceAll(settings, "fleet-listen "+f.gossipAddrs[name], "fleet-listen "+gossipAddr)
		return strings.ReplaceAll(settings, f.controlAddrs[name], controlAddr), environment
	}
	return process.StartOne(ctx, name, processConfig)
}

// Status returns a process's view of the fleet.
func (f *Fleet) Status(name string) (*fleet.Status, error) {
	return fleet.FetchStatus(f.controlAddrs[name], "")
}

// SendCommand submits a command at a process and returns the newest epoch after the command.
func (f *Fleet) SendCommand(name string, command release.Command) (release.Epoch, error) {
	return fleet.SendCommand(f.controlAddrs[name], command)
}

// Release submits a release at a process, in the given waves if any, and returns its epoch.
func (f *Fleet) Release(name, text string, waves ...float64) (release.Epoch, error) {
	return f.SendCommand(name, release.Command{
		Kind:   release.KindRelease,
		Author: name,
		Text:   text,
		Digest: release.Digest(text, ""),
		Waves:  waves,
	})
}
