// Package catalogue speaks with the proxy through which calls reach the tier below: lines, and bodies of a
// told length.
package catalogue

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"

	"swiftcourse/admission"
)

const (
	maxLine  = 256      // an id, a word and a length
	maxReply = 16 << 10 // four times a result's bound; a length beyond it is a broken stream
)

// Reply is how a call ended; its body is a view of the input.
type Reply struct {
	ID      string
	Outcome admission.Outcome
	Body    []byte
}

// What each word proves: only the first two of the others say that the call never ran.
var ends = map[string]admission.Outcome{"DATA": admission.Finished, "LATER": admission.Rejected, "NOUSE": admission.Rejected,
	"FAULT": admission.Failed, "TOOSLOW": admission.TimedOut}

// Next reads the reply at the start of b and tells how long it is: 0 while it is not whole.
func Next(b []byte) (r Reply, n int, err error) {
	end := bytes.Index(b[:min(len(b), maxLine)], []byte("\r\n"))
	if end < 0 {
		if len(b) >= maxLine {
			err = errors.New("a line without end")
		}
		return r, 0, err
	}
	words := bytes.Fields(b[:end])
	if len(words) < 2 {
		return r, 0, errors.New("a line without id and word")
	}
	outcome, known := ends[string(words[1])]
	if !known {
		return r, 0, fmt.Errorf("unknown word %.20q", words[1])
	}
	r, n = Reply{ID: string(words[0]), Outcome: outcome}, end+2
	if outcome != admission.Finished {
		return r, n, nil
	}
	size, err := strconv.Atoi(string(words[len(words)-1]))
	if err != nil || len(words) != 3 || size < 0 || size > maxReply {
		return r, 0, errors.New("a reply without a length")
	}
	if len(b) < n+size+2 {
		return r, 0, nil
	}
	if string(b[n+size:n+size+2]) != "\r\n" {
		return r, 0, errors.New("a body without its end")
	}
	r.Body = b[n : n+size]
	return r, n + size + 2, nil
}

// PutCall appends a call that waits for so many seconds.
func PutCall(b []byte, id string, wait float64, body []byte) []byte {
	b = append(append(append(b, "FETCH "...), id...), ' ')
	b = strconv.AppendInt(b, int64(max(1, math.Floor(wait*1000))), 10)
	b = strconv.AppendInt(append(b, ' '), int64(len(body)), 10)
	return append(append(append(b, "\r\n"...), body...), "\r\n"...)
}
