package rpc

import (
	"errors"
	"fmt"
)

// ResponseKind tells what a message from a server says.
type ResponseKind uint8

// The kinds of a message from a server.
const (
	ResponseFinished ResponseKind = iota // the request finished, with a result
	ResponseRejected                     // the request never ran
	ResponseFailed                       // any other error
	ResponseHealth                       // the response to a health check
	ResponseGoAway                       // no response: no new request is wanted on the connection
	ResponseOther                        // another message, to be ignored
)

// String returns the kind's name, for logs and tests.
func (k ResponseKind) String() string {
	switch k {
	case ResponseFinished:
		return "finished"
	case ResponseRejected:
		return "rejected"
	case ResponseFailed:
		return "failed"
	case ResponseHealth:
		return "health"
	case ResponseGoAway:
		return "go away"
	case ResponseOther:
		return "other"
	default:
		return fmt.Sprintf("response kind %d", uint8(k))
	}
}

// Response is one whole message from a server; its result is a view of the input.
type Response struct {
	Kind      ResponseKind
	Number    uint64 // of the request
	Result    []byte
	Healthy   bool   // with ResponseHealth
	ErrorName string // the error's name, "" if there is none
	Metadata  ResponseMetadata
}

// maxResponse bounds one response: a result of 4 KiB and its fields.
const maxResponse = 16 << 10

// ParseResponse reads the message at the start of b and returns its length, or 0 if b holds only a part of it.
// An error matches wire.ErrMalformed and means that nothing of b can be parsed.
func ParseResponse(b []byte) (response Response, length int, err error) {
	input := decoder{data: b}
	response = parseServerMessage(&input)
	switch {
	case errors.Is(input.err, errShort) && len(b) < maxResponse:
		return Response{}, 0, nil
	case input.err != nil:
		return Response{}, 0, malformed(input.offset, input.err)
	}
	return response, input.offset, nil
}

// parseServerMessage reads one message; what it returns counts only if the decoder has no error.
func parseServerMessage(input *decoder) Response {
	frame := input.read()
	if input.err == nil && frame.kind != kindArray {
		input.err = errFrame
	}
	messageType := input.read()
	if input.err == nil && messageType.kind != kindInteger {
		input.err = errFrame
	}
	switch {
	case input.err != nil:
		return Response{}
	case messageType.number == typeNotification && frame.length == notificationLength:
		return parseServerNotification(input)
	case messageType.number == typeResponse && frame.length == responseLength:
		return parseResponse(input)
	}
	input.err = errNotResponse
	return Response{}
}

// parseServerNotification reads what follows the type of a notification.
func parseServerNotification(input *decoder) Response {
	method := input.read()
	input.readRaw()
	if string(method.data) == methodGoAway {
		return Response{Kind: ResponseGoAway}
	}
	return Response{Kind: ResponseOther}
}

// parseResponse reads what follows the type of a response: number, error and result.
func parseResponse(input *decoder) Response {
	response := Response{Number: uint64(input.read().number)}
	fault := input.readRaw()
	result := input.readRaw()
	if input.err != nil {
		return response
	}
	if fault[0] != formatNil {
		input.err = response.parseError(&decoder{data: fault})
	} else {
		input.err = response.parseResult(&decoder{data: result})
	}
	return response
}

// parseError reads the error of a response: its name and fields.
func (r *Response) parseError(input *decoder) (err error) {
	list := input.read()
	name := input.read()
	if input.err != nil || list.kind != kindArray || list.length != errorLength || name.kind != kindString {
		return errErrorShape
	}
	r.ErrorName = string(name.data)
	r.Kind = ResponseFailed
	if r.ErrorName == errorRejected {
		r.Kind = ResponseRejected
	}
	r.Metadata, err = parseMetadata(input)
	return err
}

// parseResult reads the result of a response: bytes or a health check's bool, and fields.
func (r *Response) parseResult(input *decoder) (err error) {
	list := input.read()
	var format byte
	if input.offset < len(input.data) {
		format = input.data[input.offset]
	}
	body := input.read()
	if input.err != nil || list.kind != kindArray || list.length != resultLength {
		return errResultShape
	}
	switch {
	case format == formatFalse, format == formatTrue:
		r.Kind = ResponseHealth
		r.Healthy = format == formatTrue
	case body.kind == kindBinary, body.kind == kindString:
		r.Result = body.data
	default:
		return errResultType
	}
	r.Metadata, err = parseMetadata(input)
	return err
}

// parseMetadata reads the fields of a response. Unknown ones, and those that aren't strings, are ignored.
func parseMetadata(input *decoder) (metadata ResponseMetadata, err error) {
	fields := input.read()
	if input.err != nil || fields.kind != kindMap {
		return metadata, errNoFields
	}
	for range fields.length {
		name := input.read()
		content := input.read()
		if input.err != nil {
			return metadata, errFieldsCutShort
		}
		if name.kind != kindString || content.kind != kindString {
			continue
		}
		text := string(content.data)
		switch string(name.data) {
		case fieldLoadReport:
			metadata.LoadReport = text
		case fieldRetryAfter:
			if metadata.RetryAfter, err = parseMilliseconds(text, 0, maxMilliseconds); err != nil {
				return metadata, &FieldError{Field: fieldRetryAfter, Err: err}
			}
		case fieldNoFailover:
			metadata.NoFailover = text == flagSet
		}
	}
	return metadata, nil
}
