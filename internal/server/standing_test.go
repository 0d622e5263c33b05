package server

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"reflect"
	"strings"
	"testing"

	"swiftcourse/internal/config"
	"swiftcourse/internal/policy/serving"
	"swiftcourse/internal/wire/rpc"
)

// readAnswer reads the next answer that a balancer gets.
func (e *testConn) readAnswer() rpc.Answer {
	e.t.Helper()
	var got []byte
	for {
		b, err := e.in.ReadByte()
		if err != nil {
			e.t.Fatal(err)
		}
		got = append(got, b)
		a, size, err := rpc.NextAnswer(got)
		if err != nil {
			e.t.Fatal(err)
		}
		if size > 0 {
			return a
		}
	}
}

func (w *fixture) setDirective(now serving.Mode, until float64, then serving.Mode) *serving.VersionStats {
	stamp := &serving.VersionStats{}
	w.server.SetDirective(&serving.Directive{Epoch: 3, Mode: now, ChangesAt: until, NextMode: then, Reason: "a test", Stats: stamp})
	return stamp
}

// waitForReport waits for a report that says so.
func (w *fixture) waitForReport(takes bool) {
	w.Helper()
	for report := range w.registry.Reports() {
		if report.Takes == takes {
			return
		}
	}
}

// runRequests runs what is begun: it tells of each begin, and ends them all once finish is closed.
func (w *fixture) runRequests(begun chan<- string, finish <-chan struct{}) {
	ends := make(chan string, cap(begun))
	go func() { // notices go in the order of their numbers
		<-finish
		for end := range ends {
			_, _ = io.WriteString(w.executor, end) // the test ends where this fails
		}
	}()
	go func() {
		defer close(ends)
		serial := 0
		for {
			line, err := w.executor.in.ReadString('\n')
			if err != nil {
				return
			}
			var m struct{ Msg, Call, Cookie string }
			if json.Unmarshal([]byte(line), &m) != nil {
				return
			}
			switch m.Msg {
			case "usage":
				fmt.Fprintf(w.executor, `{"msg":"used","cookie":"%s","stats":[0.5,1]}`+"\n", m.Cookie)
			case "begin":
				begun <- m.Call
				serial++
				end := fmt.Sprintf(`{"msg":"complete","serial":%d,"call":"%s","how":"done","duration":5,"blob":"eQ=="}`+"\n", serial, m.Call)
				ends <- end
			}
		}
	}()
}

func TestAServerThatMayNotActFinishesWhatRunsAndRejectsTheRest(t *testing.T) {
	w := startServer(t, func(s *config.Startup) { s.Settings.MaxRetryAfter = 5 })
	const tasks = 20 // more than two cores take at once
	begun, finish := make(chan string, tasks+1), make(chan struct{})
	w.runRequests(begun, finish)
	before := w.setDirective(serving.ModeNormal, math.Inf(1), serving.ModeNormal)
	b := w.dialClient()
	for i := range tasks {
		b.send("%s", requestFrame(byte(i+1), fmt.Sprintf("%016x", i+1), "x"))
	}
	<-begun
	stamp := w.setDirective(serving.ModeOutOfService, math.Inf(1), serving.ModeOutOfService)
	w.waitForReport(false)
	close(finish)
	finished, rejected, told := 0, 0, 0 // the module may have rejected some before, with its own advice
	for finished+rejected < tasks {
		switch a := b.readAnswer(); a.End {
		case rpc.Finished:
			finished++
		case rpc.Rejected:
			rejected++
			if a.Say.Advice == outOfServiceRetryAfter {
				told++
			}
		default:
			t.Fatalf("answer %+v", a)
		}
	}
	if runs := len(begun) + 1; finished != runs || told == 0 {
		t.Errorf("%d runs, %d finished, %d rejected, %d of these told when to come back", runs, finished, rejected, told)
	}
	if n, m := before.Completed.Load(), stamp.Completed.Load(); n+m > tasks || m == 0 || int(n+m) < tasks-told { // those that came after it are none of any version's
		t.Errorf("%d ends are counted before, %d after, of %d", n, m, tasks)
	}
	w.setDirective(serving.ModeNormal, math.Inf(1), serving.ModeNormal)
	w.waitForReport(true)
	b.send("%s", requestFrame(99, "0000000000000099", "x"))
	if a := b.readAnswer(); a.End != rpc.Finished {
		t.Errorf("back, it answers %+v", a)
	}
}

// TestAServerGoesByItsOwnClock: nobody tells it that its lease is over, as when all of it was stopped, and yet it takes nothing in.
func TestAServerGoesByItsOwnClock(t *testing.T) {
	w := startServer(t, nil)
	begun, finish := make(chan string, 1), make(chan struct{})
	w.runRequests(begun, finish)
	stamp := w.setDirective(serving.ModeNormal, w.server.Now()-1, serving.ModeOutOfService) // published before it was stopped, read after
	b := w.dialClient()
	b.send("%s", requestFrame(1, "0000000000000001", "x"))
	if a := b.readAnswer(); a.End != rpc.Rejected {
		t.Errorf("it answers %+v", a)
	}
	if n := stamp.Requests.Load(); n != 0 || len(begun) != 0 {
		t.Errorf("%d tasks were taken in, %d begun", n, len(begun))
	}
	w.waitForReport(false)
}

func TestSettingsAreTakenWholeOrNotAtAll(t *testing.T) {
	conf, err := config.ParseOperatorSettings("f", []byte("door on"))
	if err != nil {
		t.Fatal(err)
	}
	w := startServerWith(t, nil, conf)
	for text, want := range map[string]string{
		"door off":                  "can't be switched while serving",
		"door-remember 1000000":     "can't be changed while serving",
		"door-prefix-ipv4 16":       "can't be changed while serving",
		"door-come-back 300ms":      "",
		"door-come-back 300\n":      "not a duration with a unit",
		"fleet-lease 3s":            "belongs to each server's own file",
		"door-lobby 3\ndoor-earn 5": "can't be changed while serving",
	} {
		before := *w.server.operatorSettings
		next, err := conf.WithRelease("released", text)
		if err == nil {
			err = w.server.ApplyConfig(next)
		}
		if want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
		if err != nil && !reflect.DeepEqual(before, *w.server.operatorSettings) {
			t.Errorf("%q was refused and changed something", text)
		}
	}
}
