package catalogue

import (
	"bytes"
	"fmt"
	"strconv"

	"swiftcourse/admission"
	"swiftcourse/internal/wire"
)

// This file is the proxy's side of the protocol: the proxy parses calls and appends replies.

// Call is a call from a server or, if Cancelled is set, the cancellation of the call with this ID.
// Its body is a slice of the input.
type Call struct {
	Cancelled bool
	ID        string
	Timeout   float64 // seconds
	Body      []byte
}

// ParseCall parses the line and body at the start of data and returns their length, or 0 if data
// holds only a part of them. An error matches wire.ErrMalformed and means that the rest of data
// can't be parsed either.
func ParseCall(data []byte) (call Call, length int, err error) {
	line, lineLength, err := parseLine(data)
	if lineLength == 0 {
		return Call{}, 0, err
	}
	tokens := bytes.Fields(line)
	switch {
	case len(tokens) == 2 && string(tokens[0]) == commandQuit:
		return Call{Cancelled: true, ID: string(tokens[1])}, lineLength, nil
	case len(tokens) != 4 || string(tokens[0]) != commandFetch:
		return Call{}, 0, malformed(0, fmt.Errorf("line is neither %s with three arguments nor %s with one: %.20q",
			commandFetch, commandQuit, line))
	}
	milliseconds, timeoutErr := strconv.Atoi(string(tokens[2]))
	size, sizeValid := parseBodySize(tokens[3])
	if timeoutErr != nil || milliseconds < 0 || !sizeValid {
		return Call{}, 0, malformed(0, fmt.Errorf("%w: %.40q", errCallLine, line))
	}
	body, length, err := parseBody(data, lineLength, size)
	if length == 0 {
		return Call{}, 0, err
	}
	call = Call{
		ID:      string(tokens[1]),
		Timeout: float64(milliseconds) / wire.MillisecondsPerSecond,
		Body:    body,
	}
	return call, length, nil
}

// AppendReply appends the outcome of a call, and the body if the call finished.
func AppendReply(b []byte, id string, outcome admission.Outcome, body []byte) []byte {
	b = append(append(b, id...), ' ')
	switch outcome {
	case admission.Finished:
		b = strconv.AppendInt(append(b, statusData+" "...), int64(len(body)), 10)
		return appendBody(b, body)
	case admission.Rejected:
		b = append(b, statusLater...)
	case admission.TimedOut:
		b = append(b, statusTooSlow...)
	default:
		b = append(b, statusFault...)
	}
	return append(b, lineEnd...)
}
