package rpc

import (
	"errors"
	"fmt"
)

// MaxFrame is the largest size of a message in bytes: a body of 2 KiB, its fields, and room for
// future fields.
const MaxFrame = 16 << 10

const (
	// maxBody is the largest size of a request body in bytes.
	maxBody = 2 << 10
	// maxFields is the largest number of fields of a request: ten times those that are known.
	maxFields = 128
)

// Kind is the kind of a message from a client.
type Kind uint8

// The kinds of a message.
const (
	KindOther       Kind = iota // a message that is ignored
	KindRequest                 // a client sends a request
	KindCancel                  // a client no longer waits for the response to a request
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

// Message is one complete message. Its body is a slice of the input.
type Message struct {
	Kind            Kind
	Number          uint64 // message id of MessagePack-RPC, which the response repeats
	ID              string // id of the request, the same on all links
	Class           string
	Tenant          string
	Subject         string  // subject of the request, "" if there is none
	Key             string  // idempotency key, shared by all attempts of a request; "" if there is none
	Retry           bool    // this attempt is a retry, if clients mark retries
	ExpectedWork    float64 // expected work in seconds of a standard core, 0 if unknown
	ArrivedAt       float64 // Unix time in seconds at which the request reached the client
	Timeout         float64 // seconds from ArrivedAt for which the client waits, 0 with NoTimeout
	NoTimeout       bool    // the request has no timeout
	Client          int     // index of the client
	Memory          float64 // memory that the request needs, in KiB
	Priority        float64 // at least 0 and less than 1
	Body            []byte
	MissingBytes    int   // of an incomplete message: at least this many more bytes belong to it
	ValidationError error // why the request is invalid, nil if it is valid; an invalid request needs a response too
}

// ParseMessage parses the message at the start of b and returns its length, or 0 if b holds only a
// part of it; the message then tells only its MissingBytes. An error matches wire.ErrMalformed and
// means that the rest of b can't be parsed either.
func ParseMessage(b []byte) (message Message, length int, err error) {
	input := decoder{data: b}
	message = parseMessage(&input)
	switch {
	case errors.Is(input.err, errTruncated) && len(b)+input.missing <= MaxFrame:
		return Message{MissingBytes: input.missing}, 0, nil
	case input.err != nil:
		return Message{}, 0, malformed(input.offset, input.err)
	case input.offset > MaxFrame:
		return Message{}, 0, malformed(input.offset, errMessageTooLong)
	}
	return message, input.offset, nil
}

// parseMessage parses one message. Its result is valid only if the decoder has no error.
func parseMessage(input *decoder) Message {
	frame := input.read()
	messageType := input.read()
	if input.err != nil {
		return Message{}
	}
	if frame.kind != kindArray || messageType.kind != kindInteger ||
		frame.length < notificationLength || frame.length > requestLength {
		input.err = errMessageShape
		return Message{}
	}
	switch {
	case messageType.number == typeRequest && frame.length == requestLength:
		return parseRequest(input)
	case messageType.number == typeNotification && frame.length == notificationLength:
		return parseNotification(input)
	case messageType.number == typeResponse && frame.length == responseLength: // ignored: servers send no requests
		for range responseLength - 1 {
			input.readRaw()
		}
		return Message{}
	}
	input.err = fmt.Errorf("no message has type %d and %d elements", messageType.number, frame.length)
	return Message{}
}

// parseRequest parses the elements of a request or health check after its type.
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
	if string(method.data) == methodHealthCheck {
		return message
	}
	message.Kind = KindRequest
	message.Class = string(method.data)
	message.ValidationError = message.parseParameters(&decoder{data: parameters})
	return message
}

// parseNotification parses the elements of a notification after its type. Unknown notifications are
// ignored.
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

// parseParameters parses the fields and the body of a request.
func (m *Message) parseParameters(input *decoder) error {
	list := input.read()
	fields := input.read()
	if input.err != nil || list.kind != kindArray || list.length < parametersLength || fields.kind != kindMap {
		return errParameters
	}
	if fields.length > maxFields {
		return fmt.Errorf("%w: %d", errTooManyFields, fields.length)
	}
	m.NoTimeout = true
	var present fieldSet
	for range fields.length {
		name := input.read()
		raw := input.readRaw()
		if input.err != nil {
			return errFieldsTruncated
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
		return fmt.Errorf("%w: present are %s: %t, %s: %t, %s: %t", errMissingField, fieldID, present&hasID != 0,
			fieldArrivedAt, present&hasArrivedAt != 0, fieldMemory, present&hasMemory != 0)
	}
	return m.parseBody(input)
}

// parseBody parses the body of a request.
func (m *Message) parseBody(input *decoder) error {
	body := input.read()
	if input.err != nil || body.kind != kindBinary && body.kind != kindString {
		return errBodyType
	}
	if len(body.data) > maxBody {
		return fmt.Errorf("%w: %d bytes", errBodyTooLong, len(body.data))
	}
	m.Body = body.data
	return nil
}
