package catalogue

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"

	"swiftcourse/admission"
)

// This file is the proxy's side of the protocol: what the proxy reads and writes.

// Call is what a server sent: a call, or the notice that it doesn't wait for one any more. Its body is a view
// of the input.
type Call struct {
	Cancelled bool
	ID        string
	Timeout   float64 // seconds
	Body      []byte
}

// ParseCall reads what is at the start of data and returns its length, which is 0 while it isn't whole.
// An error matches wire.ErrMalformed and means that nothing of data can be parsed.
func ParseCall(data []byte) (call Call, length int, err error) {
	line, lineLength, err := parseLine(data)
	if lineLength == 0 {
		return Call{}, 0, err
	}
	words := bytes.Fields(line)
	switch {
	case len(words) == 2 && string(words[0]) == wordQuit:
		return Call{Cancelled: true, ID: string(words[1])}, lineLength, nil
	case len(words) != 4 || string(words[0]) != wordFetch:
		return Call{}, 0, malformed(0, fmt.Errorf("unknown line %.20q", line))
	}
	milliseconds, timeoutErr := strconv.Atoi(string(words[2]))
	size, sizeErr := strconv.Atoi(string(words[3]))
	if errors.Join(timeoutErr, sizeErr) != nil || milliseconds < 0 || size < 0 || size > maxBody {
		return Call{}, 0, malformed(0, errCallHead)
	}
	body, length, err := parseBody(data, lineLength, size)
	if length == 0 {
		return Call{}, 0, err
	}
	call = Call{
		ID:      string(words[1]),
		Timeout: float64(milliseconds) / millisecondsPerSecond,
		Body:    body,
	}
	return call, length, nil
}

// AppendReply appends how a call ended; only one that finished has a body.
func AppendReply(b []byte, id string, outcome admission.Outcome, body []byte) []byte {
	b = append(append(b, id...), ' ')
	switch outcome {
	case admission.Finished:
		b = strconv.AppendInt(append(b, wordData+" "...), int64(len(body)), 10)
		return appendBody(b, body)
	case admission.Rejected:
		b = append(b, wordLater...)
	case admission.TimedOut:
		b = append(b, wordTooSlow...)
	default:
		b = append(b, wordFault...)
	}
	return append(b, lineEnd...)
}
