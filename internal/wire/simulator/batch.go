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

// readBuffer holds most lines, in bytes; a longer one is assembled in Reader.longLine.
const readBuffer = 1 << 20

// Change tells what an event means for the lifecycle of its instance.
type Change uint8

// The changes of an instance.
const (
	ChangeNone    Change = iota // the instance goes on; Event holds what happened
	ChangeStarted               // a new instance, with Seed and Settings
	ChangeCrashed               // the process crashed
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

// Event is one entry of a batch.
type Event struct {
	Instance string // the name of the simulated server
	Change   Change
	Seed     int64     // with ChangeStarted
	Settings *Settings // with ChangeStarted
	Event    admission.Event
}

// Batch is what the simulator sends at one moment.
type Batch struct {
	Now    float64 // seconds
	Events []Event
}

// Reader reads batches, one a line.
type Reader struct {
	in       *bufio.Reader
	longLine []byte
	parser   fastjson.Parser
	batch    Batch
	gauges   map[string][]string // the gauges of each instance, in the order in which they come
}

// NewReader returns a reader of batches from in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, readBuffer), gauges: map[string][]string{}}
}

// ReadBatch returns the next batch, good until the call after, or io.EOF at the end of input. An error that isn't
// of the input matches wire.ErrMalformed; one of an event is an EventError.
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

// readLine returns the next line that isn't blank, without its end.
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

// readRawLine returns what there is up to the next line end or error; a line that overruns the buffer is
// assembled in longLine.
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

// trimRight cuts off spaces and control characters at the end.
func trimRight(line []byte) []byte {
	for len(line) > 0 && line[len(line)-1] <= ' ' {
		line = line[:len(line)-1]
	}
	return line
}
