package simulator

import (
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"

	"swiftcourse/admission"
	"swiftcourse/internal/wire"
)

const startBatch = `{"timeMs":1000,"inbox":[["BORN","server/3",7,{"new":1,"servers":9,"classes":[{"effect":` +
	`"deduplicated","hardLimitMs":4500,"windowMs":2000}],"familyInfo":{"below":"shared","say":"weight",` +
	`"preemption":"pause","cores":6,"gauges":["runnable","cpu_busy"]}}]]}`

const batch = `{"timeMs":2500.5,"extra":{},"inbox":[["NEW","server/3"],` +
	`["REQ","server/3","id",6,2.5,40,100,1,null,4,500,0.5,2,"old","more"],` +
	`["CALL_ENDED","server/3","id","full",20],["DEADLINE_HIT","server/3","next",[3,0.5]]]}`

func TestReader_ReadsStartOfInstance(t *testing.T) {
	b, err := NewReader(strings.NewReader(startBatch + "\n")).ReadBatch()
	if err != nil || len(b.Events) != 1 || b.Events[0].Change != ChangeStarted || b.Events[0].Seed != 7 {
		t.Fatalf("got %+v, error %v; want one start of an instance with seed 7", b, err)
	}
	settings := b.Events[0].Settings
	if settings.Deployment.Downstream != "shared" || settings.Deployment.Cores != 6 || settings.Servers != 9 {
		t.Fatalf("got deployment and servers of %+v; want shared, 6 cores and 9 servers", settings)
	}
	if len(settings.Classes) != 1 || settings.Classes[0].Idempotency != "deduplicated" ||
		settings.Classes[0].DeduplicationWindowMs != 2000 {
		t.Fatalf("got classes of %+v; want one, deduplicated in a window of 2000 ms", settings)
	}
}

func TestReader_ReadsBatches(t *testing.T) {
	r := NewReader(strings.NewReader(startBatch + "\n\n" + batch + "\n"))
	if _, err := r.ReadBatch(); err != nil { // sets the order of the gauges in the next batch
		t.Fatal(err)
	}
	b, err := r.ReadBatch()
	want := []admission.Event{
		{
			Kind:      admission.Arrived,
			RequestID: "id",
			Request: admission.Request{
				Class:           1,
				Tenant:          2,
				Client:          4,
				Memory:          2.5,
				Age:             0.04,
				RemainingBudget: 0.5,
				Priority:        0.5,
				Retry:           true,
				Write:           true,
				DuplicateOf:     "old",
			},
		},
		{Kind: admission.CallReturned, RequestID: "id", Outcome: admission.Rejected, Duration: 0.02},
		{
			Kind:   admission.TimerFired,
			Label:  "next",
			Gauges: admission.Gauges{Utilization: 0.5, Runnable: 3, Memory: -1, Connections: -1},
		},
	}
	if err != nil || b.Now != 2.5005 || len(b.Events) != 3 {
		t.Fatalf("got %+v, error %v; want 3 events at 2.5005 s", b, err)
	}
	for i, e := range b.Events {
		if !reflect.DeepEqual(e.Event, want[i]) {
			t.Errorf("event %d:\ngot  %+v\nwant %+v", i, e.Event, want[i])
		}
	}
	if _, err := r.ReadBatch(); !errors.Is(err, io.EOF) {
		t.Fatalf("end of input: got error %v, want %v", err, io.EOF)
	}
}

func TestWriter_WritesReply(t *testing.T) {
	var out strings.Builder
	w := NewWriter(&out)
	w.AddActions("server/3", []admission.Action{
		{Kind: admission.Reject, RequestID: "id", Duration: 0.25, NoFailover: true},
		{Kind: admission.SetHealth},
	})
	const want = `{"cmds":[["BUSY","server/3","id",250.000,true],["STATUS","server/3",false,true]]}` + "\n"
	if err := w.Flush(); err != nil || out.String() != want {
		t.Fatalf("got %q, error %v; want %q", out.String(), err, want)
	}
}

func TestReader_RejectsMalformed(t *testing.T) {
	for _, in := range []string{
		"{",
		`{"timeMs":1}`,
		`{"timeMs":1,"inbox":[3]}`,
		`{"timeMs":1,"inbox":[["BORN","server/1",1]]}`,
		`{"timeMs":1,"inbox":[["BORN","server/1",1,"x"]]}`,
	} {
		_, err := NewReader(strings.NewReader(in)).ReadBatch()
		if !errors.Is(err, wire.ErrMalformed) || errors.Is(err, io.EOF) {
			t.Errorf("%s: got error %v, want %v and not %v", in, err, wire.ErrMalformed, io.EOF)
		}
	}
}

func TestReader_NamesEventInError(t *testing.T) {
	line := `{"timeMs":1,"inbox":[["CRASH_NOW","server/1"],["BORN","server/1",1]]}`
	_, err := NewReader(strings.NewReader(line)).ReadBatch()
	var eventError *EventError
	if !errors.As(err, &eventError) || eventError.Index != 1 || !errors.Is(err, errMissingSettings) {
		t.Errorf("got error %v, want %v in event 1", err, errMissingSettings)
	}
}
