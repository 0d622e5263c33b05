package simulator

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"github.com/valyala/fastjson"

	"swiftcourse/admission"
	"swiftcourse/internal/wire"
)

// readBuffer is the size of a Reader's buffer in bytes. Longer lines are assembled in
// Reader.longLine.
const readBuffer = 1 << 20

// Change is the effect of an event on the lifecycle of its instance.
type Change uint8

// The lifecycle changes of an instance.
const (
	ChangeNone    Change = iota // no change; the field Event of the entry is set
	ChangeStarted               // the instance started, with Seed and Settings
	ChangeCrashed               // the process of the instance crashed
)

// String returns the change's name, for logs and tests.
func (c Change) String() string {
	switch c {
	case ChangeNone:
		return "none"
	case ChangeStarted:
		return "started"
	case ChangeCrashed:
		return "crashed"
	default:
		return fmt.Sprintf("change %d", uint8(c))
	}
}

// Event is one entry of a batch. Its field Event is valid with ChangeNone only.
type Event struct {
	Instance string // name of the simulated server
	Change   Change
	Seed     int64     // with ChangeStarted
	Settings *Settings // with ChangeStarted
	Event    admission.Event
}

// Batch holds the events that the simulator sends at one time.
type Batch struct {
	Now    float64 // time of the simulation in seconds
	Events []Event
}

// Reader reads batches, one per line.
type Reader struct {
	in       *bufio.Reader
	longLine []byte
	parser   fastjson.Parser
	batch    Batch
	gauges   map[string][]string // names of the gauges of each instance, in the order in which events have them
}

// NewReader returns a reader of batches from in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, readBuffer), gauges: map[string][]string{}}
}

// ReadBatch returns the next batch, which is valid until the next call, or io.EOF at the end of the
// input. The error for a line that is not a valid batch matches wire.ErrMalformed, and wraps an
// EventError if one event is invalid. Other errors are those of the underlying reader.
func (r *Reader) ReadBatch() (*Batch, error) {
	line, err := r.readLine()
	if err != nil {
		return nil, err
	}
	message, err := r.parser.ParseBytes(line)
	if err != nil {
		return nil, malformed(fmt.Errorf("batch is not JSON: %w", err))
	}
	now := message.Get("timeMs")
	inbox := message.Get("inbox")
	if now == nil || now.Type() != fastjson.TypeNumber || inbox == nil || inbox.Type() != fastjson.TypeArray {
		return nil, malformed(errBatchHead)
	}
	r.batch.Now = now.GetFloat64() / wire.MillisecondsPerSecond
	r.batch.Events = r.batch.Events[:0]
	for i, entry := range inbox.GetArray() {
		if entry.Type() != fastjson.TypeArray {
			return nil, malformed(&EventError{Index: i, Err: errEventNotArray})
		}
		if err := r.readEvent(entry.GetArray()); err != nil {
			return nil, malformed(&EventError{Index: i, Err: err})
		}
	}
	return &r.batch, nil
}

// readLine returns the next line that is not blank, without trailing white space.
func (r *Reader) readLine() ([]byte, error) {
	for {
		line, err := r.readRawLine()
		line = trimRight(line)
		if len(line) > 0 && (err == nil || errors.Is(err, io.EOF)) {
			return line, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// readRawLine returns the input up to the next line end or error. A line that is longer than the
// buffer is assembled in longLine.
func (r *Reader) readRawLine() ([]byte, error) {
	r.longLine = r.longLine[:0]
	part, err := r.in.ReadSlice('\n')
	for errors.Is(err, bufio.ErrBufferFull) {
		r.longLine = append(r.longLine, part...)
		part, err = r.in.ReadSlice('\n')
	}
	if len(r.longLine) == 0 {
		return part, err
	}
	r.longLine = append(r.longLine, part...)
	return r.longLine, err
}

// trimRight removes trailing spaces and control characters.
func trimRight(line []byte) []byte {
	for len(line) > 0 && line[len(line)-1] <= ' ' {
		line = line[:len(line)-1]
	}
	return line
}
