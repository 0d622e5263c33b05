package catalogue

import (
	"bytes"
	"fmt"
	"strconv"

	"swiftcourse/admission"
)

// outcomes tells what each word of the proxy proves: only LATER and NOUSE say that the call never ran.
var outcomes = map[string]admission.Outcome{
	wordData:    admission.Finished,
	wordLater:   admission.Rejected,
	wordNoUse:   admission.Rejected,
	wordFault:   admission.Failed,
	wordTooSlow: admission.TimedOut,
}

// Reply tells how a call ended; its body is a view of the input.
type Reply struct {
	ID      string
	Outcome admission.Outcome
	Body    []byte
}

// ParseReply reads the reply at the start of data and returns its length, which is 0 while it isn't whole.
// An error matches wire.ErrMalformed and means that nothing of data can be parsed.
func ParseReply(data []byte) (reply Reply, length int, err error) {
	line, lineLength, err := parseLine(data)
	if lineLength == 0 {
		return Reply{}, 0, err
	}
	words := bytes.Fields(line)
	if len(words) < 2 {
		return Reply{}, 0, malformed(0, errReplyHead)
	}
	outcome, known := outcomes[string(words[1])]
	if !known {
		return Reply{}, 0, malformed(0, fmt.Errorf("unknown word %.20q", words[1]))
	}
	reply = Reply{ID: string(words[0]), Outcome: outcome}
	if outcome != admission.Finished {
		return reply, lineLength, nil
	}
	size, err := strconv.Atoi(string(words[len(words)-1]))
	if err != nil || len(words) != 3 || size < 0 || size > maxBody {
		return Reply{}, 0, malformed(0, errReplyLength)
	}
	reply.Body, length, err = parseBody(data, lineLength, size)
	if length == 0 {
		return Reply{}, 0, err
	}
	return reply, length, nil
}
