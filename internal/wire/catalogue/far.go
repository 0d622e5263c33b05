package catalogue

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"

	"swiftcourse/admission"
)

// This file is the far side of the protocol: what the proxy reads and writes. The stand-in speaks with it.

// maxCall bounds the body of a call, as maxReply does that of a reply.
const maxCall = maxReply

// Call is what a server sent: a call, or the word that it waits no longer for one. Its body is a view of the
// input.
type Call struct {
	Quit bool
	ID   string
	Wait float64 // seconds
	Body []byte
}

// NextCall reads what is at the start of b and tells how long it is: 0 while it is not whole.
func NextCall(b []byte) (c Call, n int, err error) {
	end := bytes.Index(b[:min(len(b), maxLine)], []byte("\r\n"))
	if end < 0 {
		if len(b) >= maxLine {
			err = errors.New("a line without end")
		}
		return c, 0, err
	}
	words := bytes.Fields(b[:end])
	n = end + 2
	switch {
	case len(words) == 2 && string(words[0]) == "QUIT":
		return Call{Quit: true, ID: string(words[1])}, n, nil
	case len(words) != 4 || string(words[0]) != "FETCH":
		return c, 0, fmt.Errorf("unknown line %.20q", b[:end])
	}
	wait, err := strconv.Atoi(string(words[2]))
	size, err2 := strconv.Atoi(string(words[3]))
	if err = errors.Join(err, err2); err != nil || wait < 0 || size < 0 || size > maxCall {
		return c, 0, errors.New("a call without its wait or length")
	}
	if len(b) < n+size+2 {
		return c, 0, nil
	}
	if string(b[n+size:n+size+2]) != "\r\n" {
		return c, 0, errors.New("a body without its end")
	}
	return Call{ID: string(words[1]), Wait: float64(wait) / 1000, Body: b[n : n+size]}, n + size + 2, nil
}

// PutReply appends how a call ended; only one that finished has a body.
func PutReply(b []byte, id string, outcome admission.Outcome, body []byte) []byte {
	b = append(append(b, id...), ' ')
	switch outcome {
	case admission.Finished:
		b = strconv.AppendInt(append(b, "DATA "...), int64(len(body)), 10)
		b = append(append(b, "\r\n"...), body...)
	case admission.Rejected:
		b = append(b, "LATER"...)
	case admission.TimedOut:
		b = append(b, "TOOSLOW"...)
	default:
		b = append(b, "FAULT"...)
	}
	return append(b, "\r\n"...)
}
