package rpc

import (
	"errors"
	"fmt"
)

// End tells what an answer says.
type End uint8

// The ends of an answer.
const (
	Finished  End = iota // the request finished, with a result
	Rejected             // the request never ran
	Abandoned            // any other error
	WellSaid             // the response to a health check
	PartSaid             // no response: no new request is wanted on the connection
	Passed               // another whole message, to be passed over
)

// String returns the end's name, for logs and tests.
func (e End) String() string {
	switch e {
	case Finished:
		return "finished"
	case Rejected:
		return "rejected"
	case Abandoned:
		return "failed"
	case WellSaid:
		return "health"
	case PartSaid:
		return "go away"
	case Passed:
		return "other"
	default:
		return fmt.Sprintf("end %d", uint8(e))
	}
}

// Answer is one whole message from a server; its result is a view of the input.
type Answer struct {
	End    End
	Number uint64
	Result []byte
	Well   bool   // with WellSaid
	Error  string // the error's name, "" where there is none
	Say    Say
}

// maxAnswer bounds one answer: a result of 4 KiB and its fields.
const maxAnswer = 16 << 10

// NextAnswer reads the message at the start of b and returns its length, which is 0 while it isn't whole.
// An error matches ErrMalformed and means that nothing of b can be parsed.
func NextAnswer(b []byte) (answer Answer, length int, err error) {
	d := decoder{input: b}
	answer = parseAnswer(&d)
	switch {
	case errors.Is(d.err, errShort) && len(b) < maxAnswer:
		return Answer{}, 0, nil
	case d.err != nil:
		return Answer{}, 0, malformed(d.offset, d.err)
	}
	return answer, d.offset, nil
}

// parseAnswer reads one message; what it returns counts only if the decoder has no error.
func parseAnswer(d *decoder) Answer {
	frame := d.read()
	if d.err == nil && frame.kind != kindArray {
		d.err = errFrame
	}
	messageType := d.read()
	if d.err == nil && messageType.kind != kindInteger {
		d.err = errFrame
	}
	switch {
	case d.err != nil:
		return Answer{}
	case messageType.number == typeNotification && frame.length == notificationLength:
		return parseServerNotification(d)
	case messageType.number == typeResponse && frame.length == responseLength:
		return parseResponse(d)
	}
	d.err = errNotAnswer
	return Answer{}
}

// parseServerNotification reads what follows the type of a notification.
func parseServerNotification(d *decoder) Answer {
	method := d.read()
	d.readWhole()
	if string(method.data) == methodGoAway {
		return Answer{End: PartSaid}
	}
	return Answer{End: Passed}
}

// parseResponse reads what follows the type of a response: number, error and result.
func parseResponse(d *decoder) Answer {
	answer := Answer{Number: uint64(d.read().number)}
	fault := d.readWhole()
	result := d.readWhole()
	if d.err != nil {
		return answer
	}
	if fault[0] != headNil {
		d.err = answer.parseError(&decoder{input: fault})
	} else {
		d.err = answer.parseResult(&decoder{input: result})
	}
	return answer
}

// parseError reads the error of a response: its name and fields.
func (a *Answer) parseError(d *decoder) (err error) {
	list := d.read()
	name := d.read()
	if d.err != nil || list.kind != kindArray || list.length != 2 || name.kind != kindString {
		return errErrorShape
	}
	a.Error = string(name.data)
	a.End = Abandoned
	if a.Error == errorRejected {
		a.End = Rejected
	}
	a.Say, err = parseSay(d)
	return err
}

// parseResult reads the result of a response: bytes or a health check's bool, and fields.
func (a *Answer) parseResult(d *decoder) (err error) {
	list := d.read()
	var head byte
	if d.offset < len(d.input) {
		head = d.input[d.offset]
	}
	body := d.read()
	if d.err != nil || list.kind != kindArray || list.length != 2 {
		return errResultShape
	}
	switch {
	case head == headFalse, head == headTrue:
		a.End = WellSaid
		a.Well = head == headTrue
	case body.kind == kindBinary, body.kind == kindString:
		a.Result = body.data
	default:
		return errResultType
	}
	a.Say, err = parseSay(d)
	return err
}

// parseSay reads the fields of a response. Those that aren't known or aren't strings are passed over.
func parseSay(d *decoder) (say Say, err error) {
	fields := d.read()
	if d.err != nil || fields.kind != kindMap {
		return say, errNoFields
	}
	for range fields.length {
		name := d.read()
		content := d.read()
		if d.err != nil {
			return say, errFieldsCutShort
		}
		if name.kind != kindString || content.kind != kindString {
			continue
		}
		text := string(content.data)
		switch string(name.data) {
		case fieldLoadReport:
			say.Free = text
		case fieldRetryAfter:
			if say.Advice, err = parseSeconds(text, 0, maxMilliseconds); err != nil {
				return say, &FieldError{Field: fieldRetryAfter, Err: err}
			}
		case fieldNoFailover:
			say.Last = text == flagSet
		}
	}
	return say, nil
}
