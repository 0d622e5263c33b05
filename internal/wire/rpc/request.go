package rpc

import (
	"errors"
	"fmt"
)

// MaxFrame bounds one message: a body of 2 KiB, its fields, and room for fields not known yet.
const MaxFrame = 16 << 10

// maxBody bounds the body of a request.
const maxBody = 2 << 10

// Kind tells what a message is.
type Kind uint8

// The kinds of a message.
const (
	KindOther       Kind = iota // a message that is ignored
	KindRequest                 // a client sends a request
	KindCancel                  // a client cancels a request: it doesn't wait for the response any more
	KindHealthCheck             // a health check
)

// String returns the kind's name, for logs and tests.
func (k Kind) String() string {
	switch k {
	case KindOther:
		return "other"
	case KindRequest:
		return "request"
	case KindCancel:
		return "cancel"
	case KindHealthCheck:
		return "health check"
	default:
		return fmt.Sprintf("kind %d", uint8(k))
	}
}

// Message is one whole message; its body is a view of the input.
type Message struct {
	Kind         Kind
	Number       uint64 // the message id of MessagePack-RPC, which the response repeats
	ID           string // the request's id, on all links
	Class        string
	Tenant       string
	Subject      string  // "" if it names none
	Key          string  // the idempotency key that all attempts of one request share, "" if it has none
	Retry        bool    // a further attempt, if clients mark those
	ExpectedWork float64 // work that is expected, in seconds of a standard core; 0 if it isn't known
	ArrivedAt    float64 // when the request came to the client, in seconds of the Unix clock
	Timeout      float64 // how long the client waits from ArrivedAt, in seconds; 0 with NoTimeout
	NoTimeout    bool    // the request does not say how long the client waits
	Client       int
	Memory       float64 // that the request needs, in KiB
	Priority     float64 // from 0 to under 1
	Body         []byte
	Invalid      error // why a whole message that is owed a response can't be taken, or nil
}

// ParseMessage reads the message at the start of b and returns its length, or 0 if b holds only a part of it.
// An error matches wire.ErrMalformed and means that nothing of b can be parsed.
func ParseMessage(b []byte) (message Message, length int, err error) {
	input := decoder{data: b}
	message = parseMessage(&input)
	switch {
	case errors.Is(input.err, errShort) && len(b) < MaxFrame:
		return Message{}, 0, nil
	case input.err != nil:
		return Message{}, 0, malformed(input.offset, input.err)
	case input.offset > MaxFrame:
		return Message{}, 0, malformed(input.offset, errTooLong)
	}
	return message, input.offset, nil
}

// parseMessage reads one message; what it returns counts only if the decoder has no error.
func parseMessage(input *decoder) Message {
	frame := input.read()
	messageType := input.read()
	if input.err != nil {
		return Message{}
	}
	if frame.kind != kindArray || messageType.kind != kindInteger ||
		frame.length < notificationLength || frame.length > requestLength {
		input.err = errFrame
		return Message{}
	}
	switch {
	case messageType.number == typeRequest && frame.length == requestLength:
		return parseRequest(input)
	case messageType.number == typeNotification && frame.length == notificationLength:
		return parseNotification(input)
	case messageType.number == typeResponse && frame.length == responseLength: // nothing was asked
		for range responseLength - 1 {
			input.readRaw()
		}
		return Message{}
	}
	input.err = fmt.Errorf("unknown message type %d", messageType.number)
	return Message{}
}

// parseRequest reads what follows the type of a request or health check.
func parseRequest(input *decoder) Message {
	number := input.read()
	method := input.read()
	if input.err == nil && (number.kind != kindInteger || method.kind != kindString) {
		input.err = errRequestHead
	}
	parameters := input.readRaw()
	if input.err != nil {
		return Message{}
	}
	message := Message{Kind: KindHealthCheck, Number: uint64(number.number)}
	if string(method.data) == methodCheck {
		return message
	}
	message.Kind = KindRequest
	message.Class = string(method.data)
	message.Invalid = message.parseParameters(&decoder{data: parameters})
	return message
}

// parseNotification reads what follows the type of a notification. An unknown one is ignored.
func parseNotification(input *decoder) Message {
	method := input.read()
	parameters := input.readRaw()
	if input.err != nil || string(method.data) != methodCancel {
		return Message{}
	}
	nested := decoder{data: parameters}
	list := nested.read()
	number := nested.read()
	if nested.err != nil || list.kind != kindArray || number.kind != kindInteger {
		return Message{}
	}
	return Message{Kind: KindCancel, Number: uint64(number.number)}
}

// parseParameters reads a request's fields and body.
func (m *Message) parseParameters(input *decoder) error {
	list := input.read()
	fields := input.read()
	if input.err != nil || list.kind != kindArray || list.length < parametersLength || fields.kind != kindMap {
		return errParameters
	}
	m.NoTimeout = true
	var present fieldSet
	for range fields.length {
		name := input.read()
		raw := input.readRaw()
		if input.err != nil {
			return errFieldsCutShort
		}
		if name.kind != kindString {
			continue
		}
		nested := decoder{data: raw}
		field, err := m.parseField(string(name.data), nested.read())
		if err != nil {
			return &FieldError{Field: string(name.data), Err: err}
		}
		present |= field
	}
	if present != requiredFields {
		return errMissingField
	}
	return m.parseBody(input)
}

// parseBody reads a request's body.
func (m *Message) parseBody(input *decoder) error {
	body := input.read()
	if input.err != nil || body.kind != kindBinary && body.kind != kindString {
		return errBodyType
	}
	if len(body.data) > maxBody {
		return errBodyTooLong
	}
	m.Body = body.data
	return nil
}
