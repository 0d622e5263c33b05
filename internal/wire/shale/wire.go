// Package shale speaks shale-6a31, the simulator's wire: it reads batches of events, writes replies and maps
// the wire's words to those of package choice. Nothing is decided here.
package shale

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/valyala/fastjson"

	"swiftcourse/admission"
)

// Change tells what an event means for the life of its instance.
type Change uint8

const (
	Goes  Change = iota // the instance goes on; Event holds what happened
	Born                // a new instance, with Seed and Told
	Wiped               // the process died
)

// Event is one entry of a batch.
type Event struct {
	Who    string
	Change Change
	Seed   int64
	Told   *Told
	Event  admission.Event
}

// Batch is what the simulator sends at one moment.
type Batch struct {
	Now    float64 // seconds
	Events []Event
}

// Reader reads batches, one a line.
type Reader struct {
	in     *bufio.Reader
	long   []byte
	parser fastjson.Parser
	batch  Batch
	gauges map[string][]string // per instance, in the order they come
}

// NewReader returns a reader of batches from in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, 1<<20), gauges: map[string][]string{}}
}

// Next returns the next batch, good until the call after, or io.EOF at the end of input.
func (r *Reader) Next() (*Batch, error) {
	line, err := r.line()
	if err != nil {
		return nil, err
	}
	v, err := r.parser.ParseBytes(line)
	if err != nil {
		return nil, fmt.Errorf("batch is not JSON: %w", err)
	}
	now, inbox := v.Get("timeMs"), v.Get("inbox")
	if now == nil || now.Type() != fastjson.TypeNumber || inbox == nil || inbox.Type() != fastjson.TypeArray {
		return nil, errors.New("batch lacks timeMs or inbox")
	}
	r.batch.Now = now.GetFloat64() / 1000
	r.batch.Events = r.batch.Events[:0]
	for i, e := range inbox.GetArray() {
		if e.Type() != fastjson.TypeArray {
			return nil, fmt.Errorf("event %d is not an array", i)
		}
		if err := r.event(e.GetArray()); err != nil {
			return nil, fmt.Errorf("event %d: %w", i, err)
		}
	}
	return &r.batch, nil
}

// line returns the next line that is not blank; one that overruns the buffer is put together.
func (r *Reader) line() ([]byte, error) {
	for {
		r.long = r.long[:0]
		part, err := r.in.ReadSlice('\n')
		for errors.Is(err, bufio.ErrBufferFull) {
			r.long = append(r.long, part...)
			part, err = r.in.ReadSlice('\n')
		}
		if len(r.long) > 0 {
			r.long = append(r.long, part...)
			part = r.long
		}
		for len(part) > 0 && part[len(part)-1] <= ' ' {
			part = part[:len(part)-1]
		}
		if len(part) > 0 && (err == nil || errors.Is(err, io.EOF)) {
			return part, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

var outcomes = map[string]admission.Outcome{
	"ok": admission.Finished, "error": admission.Failed, "full": admission.Rejected, "timeout": admission.TimedOut,
	"connect_failed": admission.Unreachable, "reset": admission.Disconnected, "cancelled": admission.Cancelled,
	"moot": admission.NeverStarted,
}

// event appends one entry to the batch. Events of kinds unknown here are passed over.
func (r *Reader) event(f []*fastjson.Value) error {
	if text(f, 0) == "" || text(f, 1) == "" {
		return errors.New("lacks a name or an instance")
	}
	e := Event{Who: text(f, 1), Event: admission.Event{RequestID: text(f, 2)}}
	switch name := text(f, 0); name {
	case "BORN":
		if len(f) < 4 {
			return errors.New("BORN lacks its settings")
		}
		e.Change, e.Seed = Born, f[2].GetInt64()
		e.Told = new(Told)
		if err := json.Unmarshal(f[3].MarshalTo(nil), e.Told); err != nil {
			return fmt.Errorf("BORN settings: %w", err)
		}
		r.gauges[e.Who] = e.Told.Own.Gauges
	case "CRASH_NOW":
		e.Change = Wiped
	case "REQ":
		bits := int(number(f, 3))
		e.Event.Kind = admission.Arrived
		e.Event.Request = admission.Request{Memory: number(f, 4), Age: number(f, 5) / 1000, ExpectedWork: number(f, 6) / 1000,
			Class: int(number(f, 7)), HasSubject: text(f, 8) != "", Client: int(number(f, 9)),
			RemainingBudget: number(f, 10) / 1000, Priority: number(f, 11), Tenant: int(number(f, 12)), DuplicateOf: text(f, 13),
			Retry: bits&2 != 0, Write: bits&4 != 0}
		if bits&1 == 0 {
			e.Event.Request.ExpectedWork = 0
		}
	case "RUN_OVER", "CALL_ENDED":
		e.Event.Kind = admission.RunEnded
		if name == "CALL_ENDED" {
			e.Event.Kind = admission.CallReturned
		}
		outcome, ok := outcomes[text(f, 3)]
		if !ok {
			outcome = admission.Failed // a word not known yet proves nothing, as an error does
		}
		e.Event.Outcome, e.Event.Duration = outcome, number(f, 4)/1000
	case "AT_CALL":
		e.Event.Kind = admission.AwaitingDownstream
	case "ABANDONED":
		e.Event.Kind = admission.ClientGone
	case "DRAIN":
		e.Event.Kind, e.Event.RequestID, e.Event.Duration = admission.DrainStarted, "", number(f, 2)/1000
	case "DEADLINE_HIT":
		e.Event.Kind, e.Event.Label, e.Event.RequestID = admission.TimerFired, text(f, 2), ""
		e.Event.Gauges = admission.Gauges{Utilization: -1, Runnable: -1, Memory: -1, Connections: -1}
		r.readGauges(&e, f)
	default:
		return nil
	}
	r.batch.Events = append(r.batch.Events, e)
	return nil
}

func (r *Reader) readGauges(e *Event, f []*fastjson.Value) {
	if len(f) < 4 || f[3].Type() != fastjson.TypeArray {
		return
	}
	row := f[3].GetArray()
	for i, name := range r.gauges[e.Who] {
		if i < len(row) && row[i].Type() == fastjson.TypeNumber {
			SetGauge(&e.Event.Gauges, name, number(row, i))
		}
	}
}

// SetGauge sets the gauge that the settings name so.
func SetGauge(g *admission.Gauges, name string, value float64) {
	switch name {
	case "cpu_busy":
		g.Utilization = value
	case "runnable":
		g.Runnable = value
	case "mem_used":
		g.Memory = value
	case "sockets":
		g.Connections = value
	}
}

// text and number give "" and 0 for what is absent, null or of another type.
func text(f []*fastjson.Value, i int) string {
	if i >= len(f) {
		return ""
	}
	return string(f[i].GetStringBytes())
}

func number(f []*fastjson.Value, i int) float64 {
	if i >= len(f) {
		return 0
	}
	return f[i].GetFloat64()
}

// Writer writes replies.
type Writer struct {
	out *bufio.Writer
	buf []byte
}

// NewWriter returns a writer of replies to out.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: bufio.NewWriterSize(out, 1<<16), buf: []byte(`{"cmds":[`)}
}

var names = map[admission.ActionKind]string{
	admission.StartRun: "BEGIN", admission.CancelRun: "TAKE_OFF", admission.Reject: "BUSY", admission.Fail: "LOSE",
	admission.DispatchCall: "INVOKE", admission.Degrade: "DEGRADE", admission.StoreKey: "PIN", admission.DeleteKey: "EVICT",
	admission.ReuseResult: "REUSE", admission.SetHealth: "STATUS", admission.ReportLoad: "HINT_OUT", admission.SetIdleTimeout: "REAP_AFTER",
	admission.SetTimer: "SCHEDULE", admission.LogLine: "LOG",
}

// Add adds an instance's actions to the reply.
func (w *Writer) Add(who string, actions []admission.Action) {
	for i := range actions {
		a := &actions[i]
		w.open(names[a.Kind], who)
		if a.RequestID != "" {
			w.text(a.RequestID)
		}
		switch a.Kind {
		case admission.Reject:
			w.millis(a.Duration)
			w.flag(a.NoFailover)
		case admission.DispatchCall, admission.StoreKey, admission.SetIdleTimeout:
			w.millis(a.Duration)
		case admission.SetTimer:
			w.millis(a.Duration)
			w.text(a.Label)
		case admission.LogLine:
			w.text(a.Label)
		case admission.SetHealth:
			w.flag(a.Healthy)
			w.flag(true)
		case admission.ReportLoad:
			w.buf = strconv.AppendFloat(append(w.buf, ','), a.Load, 'f', -1, 64)
		}
		w.buf = append(w.buf, ']')
	}
}

// Panic tells that the instance's decisions broke.
func (w *Writer) Panic(who, what string) {
	w.open("PANIC", who)
	w.text(what)
	w.buf = append(w.buf, ']')
}

// Flush ends the reply and sends it.
func (w *Writer) Flush() error {
	w.buf = append(w.buf, "]}\n"...)
	_, err := w.out.Write(w.buf)
	w.buf = w.buf[:len(`{"cmds":[`)]
	if err == nil {
		err = w.out.Flush()
	}
	if err != nil {
		return fmt.Errorf("writing a reply: %w", err)
	}
	return nil
}

func (w *Writer) open(name, who string) {
	if w.buf[len(w.buf)-1] == ']' {
		w.buf = append(w.buf, ',')
	}
	w.buf = append(append(append(w.buf, `["`...), name...), '"')
	w.text(who)
}

func (w *Writer) text(s string) {
	quoted, _ := json.Marshal(s) // a string always marshals
	w.buf = append(append(w.buf, ','), quoted...)
}

func (w *Writer) millis(seconds float64) {
	w.buf = strconv.AppendFloat(append(w.buf, ','), seconds*1000, 'f', 3, 64)
}

func (w *Writer) flag(b bool) { w.buf = strconv.AppendBool(append(w.buf, ','), b) }
