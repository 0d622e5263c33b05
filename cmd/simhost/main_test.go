package main

import (
	"errors"
	"io"
	"strings"
	"testing"
)

// startBatch starts a server.
const startBatch = `{"timeMs":1000,"inbox":[["BORN","server/1",7,{"new":1,"servers":9,"classes":[{"effect":` +
	`"deduplicated","hardLimitMs":4500,"windowMs":2000}],"familyInfo":{"below":"shared","say":"weight",` +
	`"preemption":"pause","cores":6,"gauges":["runnable","cpu_busy"]}}]]}` + "\n"

// requestBatch has a request arrive at that server.
const requestBatch = `{"timeMs":2000,"inbox":[["REQ","server/1","id",6,2.5,40,100,0,null,4,500,0.5,2,null,null]]}` +
	"\n"

func TestRun_AnswersEachBatchWithALine(t *testing.T) {
	var out strings.Builder
	if err := run(strings.NewReader(startBatch+requestBatch), &out); err != nil {
		t.Fatal(err)
	}
	if lines := strings.Count(out.String(), "\n"); lines != 2 {
		t.Errorf("%d lines for two batches: %s", lines, out.String())
	}
	if !strings.Contains(out.String(), `"server/1","id"`) {
		t.Errorf("no decision on the request: %s", out.String())
	}
}

func TestRun_SameInputSameOutput(t *testing.T) {
	var first, second strings.Builder
	for _, out := range []*strings.Builder{&first, &second} {
		if err := run(strings.NewReader(startBatch+requestBatch), out); err != nil {
			t.Fatal(err)
		}
	}
	if first.String() != second.String() {
		t.Errorf("%s, then %s", first.String(), second.String())
	}
}

func TestRun_EventOfAServerThatWasNeverStarted(t *testing.T) {
	err := run(strings.NewReader(requestBatch), io.Discard)
	var unknown *unknownServerError
	if !errors.As(err, &unknown) || unknown.server != "server/1" {
		t.Errorf("error %v, want an *unknownServerError", err)
	}
}

func TestRun_MalformedBatch(t *testing.T) {
	if err := run(strings.NewReader("{"), io.Discard); err == nil {
		t.Error("no error")
	}
}
