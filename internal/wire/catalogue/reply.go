package catalogue

import (
	"bytes"
	"fmt"

	"swiftcourse/admission"
)

// outcomes holds the outcomes of calls by status. Only LATER and NOUSE prove that the call did not
// run.
var outcomes = map[string]admission.Outcome{
	statusData:    admission.Finished,
	statusLater:   admission.Rejected,
	statusNoUse:   admission.Rejected,
	statusFault:   admission.Failed,
	statusTooSlow: admission.TimedOut,
}

// Reply is the outcome of a call. Its body is a slice of the input.
type Reply struct {
	ID      string
	Outcome admission.Outcome
	Body    []byte
}

// ParseReply parses the reply at the start of data and returns its length, or 0 if data holds only
// a part of it. An error matches wire.ErrMalformed and means that the rest of data can't be parsed
// either.
func ParseReply(data []byte) (reply Reply, length int, err error) {
	line, lineLength, err := parseLine(data)
	if lineLength == 0 {
		return Reply{}, 0, err
	}
	tokens := bytes.Fields(line)
	if len(tokens) < 2 {
		return Reply{}, 0, malformed(0, fmt.Errorf("%w: %.40q", errReplyLine, line))
	}
	outcome, known := outcomes[string(tokens[1])]
	if !known {
		return Reply{}, 0, malformed(0, fmt.Errorf("unknown status %.20q", tokens[1]))
	}
	reply = Reply{ID: string(tokens[0]), Outcome: outcome}
	if outcome != admission.Finished {
		return reply, lineLength, nil
	}
	if len(tokens) != 3 {
		return Reply{}, 0, malformed(0, fmt.Errorf("%w: %.40q", errReplyLength, line))
	}
	size, sizeValid := parseBodySize(tokens[2])
	if !sizeValid {
		return Reply{}, 0, malformed(0, fmt.Errorf("%w: %.40q", errReplyLength, line))
	}
	reply.Body, length, err = parseBody(data, lineLength, size)
	if length == 0 {
		return Reply{}, 0, err
	}
	return reply, length, nil
}
