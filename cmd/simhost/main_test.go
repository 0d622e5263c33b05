package main

import (
	"errors"
	"io"
	"strings"
	"testing"
)

// startBatch is a batch that starts a server.
const startBatch = `{"timeMs":1000,"inbox":[["BORN","server/1",7,{"new":1,"servers":9,"classes":[{"effect":` +
	`"deduplicated","hardLimitMs":4500,"windowMs":2000}],"familyInfo":{"below":"shared","say":"weight",` +
	`"preemption":"pause","cores":6,"gauges":["runnable","cpu_busy"]}}]]}` + "\n"

// requestBatch is a batch with the arrival of a request at that server.
const requestBatch = `{"timeMs":2000,"inbox":[["REQ","server/1","id",6,2.5,40,100,0,null,4,500,0.5,2,null,null]]}` +
	"\n"

func TestRun_WritesOneLinePerBatch(t *testing.T) {
	var out strings.Builder
	if err := run(strings.NewReader(startBatch+requestBatch), &out); err != nil {
		t.Fatal(err)
	}
	if lines := strings.Count(out.String(), "\n"); lines != 2 {
		t.Errorf("%d lines, want one for each of the two batches: %s", lines, out.String())
	}
	if !strings.Contains(out.String(), `"server/1","id"`) {
		t.Errorf("output %s, want an action on request id of server/1", out.String())
	}
}

func TestRun_IsDeterministic(t *testing.T) {
	var first, second strings.Builder
	for _, out := range []*strings.Builder{&first, &second} {
		if err := run(strings.NewReader(startBatch+requestBatch), out); err != nil {
			t.Fatal(err)
		}
	}
	if first.String() != second.String() {
		t.Errorf("output %s of the first run and %s of the second, want the same", first.String(), second.String())
	}
}

func TestRun_EventForServerNotStarted(t *testing.T) {
	err := run(strings.NewReader(requestBatch), io.Discard)
	var unknown *unknownServerError
	if !errors.As(err, &unknown) || unknown.server != "server/1" {
		t.Errorf("error %v, want an *unknownServerError for server/1", err)
	}
}

func TestRun_MalformedBatch(t *testing.T) {
	if err := run(strings.NewReader("{"), io.Discard); err == nil {
		t.Error("no error for malformed JSON, want one")
	}
}
