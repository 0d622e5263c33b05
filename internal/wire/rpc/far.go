package rpc

import (
	"errors"
	"fmt"
	"math"
	"strconv"
)

// This file is the far side of the protocol: what balancers write, and what they read. Callers of our own and the
// stand-ins speak with it.

// PutTask appends a task: what Next reads as a message of kind Task. Times go out as whole milliseconds,
// memory and rank with six decimals; what is not there of the tenant, the rank, the subject, the key and so on is left out.
func PutTask(b []byte, m *Message) []byte {
	b = putNumber(append(b, 0x94, 0), m.Number)
	b = append(putText(b, m.Stage), 0x92, 0)
	at, fields := len(b)-1, byte(0)
	field := func(key, value string) {
		b = putText(putText(b, key), value)
		fields++
	}
	field("call", m.ID)
	field("recv", strconv.FormatFloat(math.Round(m.Came*1000), 'f', -1, 64))
	field("src", strconv.Itoa(m.Caller))
	if !m.NoWait {
		field("ttl", strconv.FormatFloat(math.Round(m.Wait*1000), 'f', -1, 64))
	}
	field("heap", strconv.FormatFloat(m.Memory, 'f', 6, 64))
	if m.Tenant != "" {
		field("org", m.Tenant)
	}
	if m.Rank != 0 {
		field("crit", strconv.FormatFloat(m.Rank, 'f', 6, 64))
	}
	if m.Subject != "" {
		field("row", m.Subject)
	}
	if m.Key != "" {
		field("dedupe", m.Key)
	}
	if m.Again {
		field("rep", "1")
	}
	if m.Hint > 0 {
		field("work", strconv.FormatFloat(m.Hint*1000, 'f', -1, 64))
	}
	b[at] = 0x80 | fields
	return putBytes(b, m.Body)
}

// PutGone appends the word that nobody waits for the answer to a message any more.
func PutGone(b []byte, number uint64) []byte {
	return putNumber(append(putText(append(b, 0x93, 2), "forget"), 0x91), number)
}

// PutCheck appends a health check.
func PutCheck(b []byte, number uint64) []byte {
	b = putNumber(append(b, 0x94, 0), number)
	return append(putText(b, "isWell"), 0x91, 0x80)
}

// End tells what an answer says.
type End uint8

const (
	Finished  End = iota // with the result
	Rejected             // it never ran
	Abandoned            // any other error
	WellSaid             // the answer to a check
	PartSaid             // no answer: no new task is wanted on the connection
	Passed               // another whole message
)

// Answer is one whole message from a server; its result is a view of the input.
type Answer struct {
	End    End
	Number uint64
	Result []byte
	Well   bool
	Error  string // the error's word, "" where there is none
	Say    Say
}

// maxAnswer bounds one answer: a result of 4 KiB and its fields.
const maxAnswer = 16 << 10

// NextAnswer reads the message at the start of b and tells how long it is: 0 while it is not whole.
func NextAnswer(b []byte) (Answer, int, error) {
	c := cursor{b: b}
	a := answer(&c)
	switch {
	case errors.Is(c.err, errShort) && len(b) < maxAnswer:
		return Answer{}, 0, nil
	case c.err != nil:
		return Answer{}, 0, fmt.Errorf("%w: %w", ErrMalformed, c.err)
	}
	return a, c.at, nil
}

func answer(c *cursor) (a Answer) {
	frame := c.read()
	if c.err == nil && frame.kind != array {
		c.err = errors.New("not an array of type and contents")
	}
	sort := c.read()
	if c.err == nil && sort.kind != integer {
		c.err = errors.New("not an array of type and contents")
	}
	if c.err != nil {
		return
	}
	if sort.num == 2 && frame.n == 3 {
		method := c.read()
		c.value()
		if a.End = Passed; string(method.data) == "goaway" {
			a.End = PartSaid
		}
		return
	}
	if sort.num != 1 || frame.n != 4 {
		c.err = errors.New("neither an answer nor a notification")
		return
	}
	number := c.read()
	a.Number = uint64(number.num)
	fault, result := c.value(), c.value()
	if c.err != nil {
		return
	}
	if e := (cursor{b: fault}); fault[0] != 0xc0 {
		list, word := e.read(), e.read()
		if e.err != nil || list.kind != array || list.n != 2 || word.kind != text {
			c.err = errors.New("an error without word and fields")
			return
		}
		a.Error, a.End = string(word.data), Abandoned
		if a.Error == "Busy" {
			a.End = Rejected
		}
		a.Say, c.err = said(&e)
		return
	}
	r := cursor{b: result}
	list := r.read()
	head := byte(0)
	if r.at < len(r.b) {
		head = r.b[r.at]
	}
	body := r.read()
	if r.err != nil || list.kind != array || list.n != 2 {
		c.err = errors.New("a result without body and fields")
		return
	}
	switch {
	case head == 0xc2, head == 0xc3:
		a.End, a.Well = WellSaid, head == 0xc3
	case body.kind == bin, body.kind == text:
		a.Result = body.data
	default:
		c.err = errors.New("a result that is no bytes")
		return
	}
	a.Say, c.err = said(&r)
	return
}

// said reads the fields of an answer.
func said(c *cursor) (s Say, err error) {
	fields := c.read()
	if c.err != nil || fields.kind != dict {
		return s, errors.New("no fields")
	}
	for range fields.n {
		key, value := c.read(), c.read()
		if c.err != nil {
			return s, errors.New("fields are cut")
		}
		if key.kind != text || value.kind != text {
			continue
		}
		switch string(key.data) {
		case "load":
			s.Free = string(value.data)
		case "pushback":
			ms, err := number(string(value.data), 0, 1e12)
			if err != nil {
				return s, fmt.Errorf("field pushback: %w", err)
			}
			s.Advice = ms / 1000
		case "stop":
			s.Last = string(value.data) == "1"
		}
	}
	return s, nil
}
