// Package rpc speaks MessagePack-RPC with the balancers: whole messages out of bytes, answers into bytes.
package rpc

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"strconv"
)

// MaxFrame bounds one message: a body of 2 KiB, its fields, and room for fields not known yet.
const MaxFrame = 16 << 10

const maxBody = 2 << 10

// maxKey bounds an idempotency key, which is remembered for its whole window: two ids of the longest kind taken.
const maxKey = 128

// Kind tells what a message is.
type Kind uint8

const (
	Other Kind = iota // whole, and passed over
	Task              // a balancer sends a task
	Gone              // it waits no longer for one
	Check             // a health check
)

// Message is one whole message; its body is a view of the input.
type Message struct {
	Kind    Kind
	Number  uint64 // of the message on its connection
	ID      string
	Stage   string
	Tenant  string
	Subject string  // "" where it names none
	Key     string  // the idempotency key that all tries of one request share, "" where it bears none
	Again   bool    // a further try, where callers mark those
	Hint    float64 // work that is expected, in seconds of a standard core; 0 where it is not told
	Came    float64
	Wait    float64 // from Came; 0 with NoWait
	NoWait  bool    // it does not tell how long its caller waits
	Caller  int
	Memory  float64
	Rank    float64
	Body    []byte
	Bad     error // a whole message that is owed an answer, yet can't be taken
}

// ErrMalformed is returned for bytes that can't be the start of a message.
var ErrMalformed = errors.New("malformed message")

// Next reads the message at the start of b and tells how long it is: 0 while it is not whole.
func Next(b []byte) (Message, int, error) {
	c := cursor{b: b}
	m := message(&c)
	switch {
	case errors.Is(c.err, errShort) && len(b) < MaxFrame:
		return Message{}, 0, nil
	case c.err != nil:
		return Message{}, 0, fmt.Errorf("%w: %w", ErrMalformed, c.err)
	case c.at > MaxFrame:
		return Message{}, 0, fmt.Errorf("%w: over %d bytes", ErrMalformed, MaxFrame)
	}
	return m, c.at, nil
}

func message(c *cursor) (m Message) {
	frame := c.read()
	sort := c.read()
	if c.err == nil && (frame.kind != array || frame.n < 3 || frame.n > 4 || sort.kind != integer) {
		c.err = errors.New("not an array of type and contents")
		return
	}
	switch {
	case sort.num == 0 && frame.n == 4:
		number, method := c.read(), c.read()
		if c.err == nil && (number.kind != integer || method.kind != text) {
			c.err = errors.New("wrong type of message id or method")
		}
		params := c.value()
		if c.err != nil {
			return
		}
		m.Number = uint64(number.num)
		if string(method.data) == "isWell" {
			m.Kind = Check
			return
		}
		m.Kind, m.Stage = Task, string(method.data)
		m.Bad = m.params(&cursor{b: params})
	case sort.num == 2 && frame.n == 3:
		method := c.read()
		params := c.value()
		if c.err != nil || string(method.data) != "forget" {
			return
		}
		p := cursor{b: params}
		if list, number := p.read(), p.read(); p.err == nil && list.kind == array && number.kind == integer {
			m.Kind, m.Number = Gone, uint64(number.num)
		}
	case sort.num == 1 && frame.n == 4: // an answer: nothing was asked
		for range 3 {
			c.value()
		}
	default:
		if c.err == nil {
			c.err = fmt.Errorf("unknown message type %d", sort.num)
		}
	}
	return
}

// params reads a task's fields and body.
func (m *Message) params(c *cursor) error {
	list, fields := c.read(), c.read()
	if c.err != nil || list.kind != array || list.n < 2 || fields.kind != dict {
		return errors.New("parameters are not fields and body")
	}
	seen := 0
	m.NoWait = true
	for range fields.n {
		key, value := c.read(), c.value()
		if c.err != nil {
			return errors.New("fields are cut")
		}
		if key.kind != text {
			continue
		}
		v := cursor{b: value}
		word := v.read()
		known, err := m.field(string(key.data), word)
		if err != nil {
			return fmt.Errorf("field %s: %w", key.data, err)
		}
		seen |= known
	}
	body := c.read()
	switch {
	case seen != needed:
		return errors.New("a field is missing")
	case c.err != nil || body.kind != bin && body.kind != text:
		return errors.New("the body is not bytes")
	case len(body.data) > maxBody:
		return fmt.Errorf("the body has over %d bytes", maxBody)
	}
	m.Body = body.data
	return nil
}

// needed has a bit for each field without which a task can't be judged at any site.
const needed = 1 | 2 | 4

func (m *Message) field(key string, v token) (known int, err error) {
	switch key {
	case "call", "recv", "src", "org", "ttl", "heap", "crit", "row", "dedupe", "rep", "work":
		if v.kind != text {
			return 0, errors.New("not a string")
		}
	default:
		return 0, nil
	}
	switch s := string(v.data); key {
	case "call":
		m.ID, known = s, 1
		if !isID(s) {
			err = errors.New("not an id")
		}
	case "recv":
		m.Came, err = number(s, 0, 1e15)
		m.Came, known = m.Came/1000, 2
	case "ttl":
		m.Wait, err = number(s, -1e12, 1e12)
		m.Wait, m.NoWait = m.Wait/1000, false
	case "heap":
		m.Memory, err = number(s, 1e-9, 2000)
		known = 4
	case "src":
		if m.Caller, err = strconv.Atoi(s); m.Caller < 0 {
			err = errors.New("under 0")
		}
	case "crit":
		m.Rank, err = number(s, 0, 1)
	case "org":
		m.Tenant = s
	case "row":
		m.Subject = s
	case "dedupe":
		if m.Key = s; len(s) > maxKey {
			err = fmt.Errorf("over %d bytes", maxKey)
		}
	case "rep":
		m.Again = s != "" && s != "0"
	case "work":
		m.Hint, err = number(s, 0, 1e12)
		m.Hint /= 1000
	}
	return known, err
}

func number(s string, least, under float64) (float64, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(v) || v < least || v >= under {
		return 0, fmt.Errorf("%.20q is not a number from %g to under %g", s, least, under)
	}
	return v, nil
}

// isID keeps ids to what the lines of the other links can carry.
func isID(s string) bool {
	for _, r := range []byte(s) {
		if r-'0' > 9 && r|0x20-'a' > 25 && r != '-' && r != '_' {
			return false
		}
	}
	return s != "" && len(s) <= 64
}

// Say is what an answer carries beside its result.
type Say struct {
	Free   string  // the free value, "" where none was set
	Advice float64 // seconds
	Last   bool
}

func (s Say) put(b []byte) []byte {
	at, n := len(b), byte(0)
	b = append(b, 0x80)
	put := func(key, value string) {
		b = putText(putText(b, key), value)
		n++
	}
	if s.Free != "" {
		put("load", s.Free)
	}
	if s.Advice > 0 {
		put("pushback", strconv.FormatInt(int64(math.Ceil(s.Advice*1000)), 10))
	}
	if s.Last {
		put("stop", "1")
	}
	b[at] |= n
	return b
}

// PutResult appends the answer of a finished task.
func PutResult(b []byte, id uint64, result []byte, say Say) []byte {
	return say.put(putBytes(append(putAnswer(b, id), 0xc0, 0x92), result))
}

func putBytes(b, data []byte) []byte {
	switch n := len(data); {
	case n < 1<<8:
		b = append(b, 0xc4, byte(n))
	case n < 1<<16:
		b = binary.BigEndian.AppendUint16(append(b, 0xc5), uint16(n))
	default:
		b = binary.BigEndian.AppendUint32(append(b, 0xc6), uint32(n))
	}
	return append(b, data...)
}

// PutRejected appends the answer of a task that was turned away and never ran.
func PutRejected(b []byte, id uint64, say Say) []byte { return putError(b, id, "Busy", say) }

// PutAbandoned appends the answer of a task that was given up.
func PutAbandoned(b []byte, id uint64, say Say) []byte { return putError(b, id, "Failed", say) }

// PutInvalid appends the answer to a message that could not be taken as a task.
func PutInvalid(b []byte, id uint64, say Say) []byte { return putError(b, id, "Invalid", say) }

func putError(b []byte, id uint64, name string, say Say) []byte {
	b = putText(append(putAnswer(b, id), 0x92), name)
	return append(say.put(b), 0xc0)
}

// PutWell appends the answer to a health check.
func PutWell(b []byte, id uint64, well bool, say Say) []byte {
	good := byte(0xc2)
	if well {
		good = 0xc3
	}
	return say.put(append(putAnswer(b, id), 0xc0, 0x92, good))
}

// PutPart appends the notice that no new task is wanted on the connection.
func PutPart(b []byte) []byte { return append(putText(append(b, 0x93, 2), "goaway"), 0x90) }

func putAnswer(b []byte, id uint64) []byte { return putNumber(append(b, 0x94, 1), id) }

func putNumber(b []byte, n uint64) []byte {
	if n < 1<<7 {
		return append(b, byte(n))
	}
	if n < 1<<32 {
		return binary.BigEndian.AppendUint32(append(b, 0xce), uint32(n))
	}
	return binary.BigEndian.AppendUint64(append(b, 0xcf), n)
}

func putText(b []byte, s string) []byte {
	if len(s) < 32 {
		b = append(b, 0xa0|byte(len(s)))
	} else {
		s = s[:min(len(s), 255)]
		b = append(b, 0xd9, byte(len(s)))
	}
	return append(b, s...)
}
