package rpc

import (
	"errors"
	"fmt"
)

// ResponseKind is the kind of a message from a server.
type ResponseKind uint8

// The kinds of a message from a server.
const (
	ResponseFinished ResponseKind = iota // the request finished and has a result
	ResponseRejected                     // the request never ran
	ResponseFailed                       // any other error
	ResponseHealth                       // the response to a health check
	ResponseGoAway                       // not a response: the server wants no new requests on the connection
	ResponseOther                        // any other message, which clients ignore
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

// Response is one complete message from a server. Its result is a slice of the input.
type Response struct {
	Kind      ResponseKind
	Number    uint64 // number of the request
	Result    []byte
	Healthy   bool   // result of the health check, valid with ResponseHealth only
	ErrorName string // name of the error on the wire, "" if there is none
	Metadata  ResponseMetadata
}

// maxResponseFrame is the largest size of a response in bytes: a result of 4 KiB and its fields,
// with room to spare.
const maxResponseFrame = 16 << 10

// ParseResponse parses the message at the start of b and returns its length, or 0 if b holds only a
// part of it. An error matches wire.ErrMalformed and means that the rest of b can't be parsed
// either.
func ParseResponse(b []byte) (response Response, length int, err error) {
	input := decoder{data: b}
	response = parseServerMessage(&input)
	switch {
	case errors.Is(input.err, errTruncated) && len(b) < maxResponseFrame:
		return Response{}, 0, nil
	case input.err != nil:
		return Response{}, 0, malformed(input.offset, input.err)
	}
	return response, input.offset, nil
}

// parseServerMessage parses one message. Its result is valid only if the decoder has no error.
func parseServerMessage(input *decoder) Response {
	frame := input.read()
	if input.err == nil && frame.kind != kindArray {
		input.err = errMessageShape
	}
	messageType := input.read()
	if input.err == nil && messageType.kind != kindInteger {
		input.err = errMessageShape
	}
	switch {
	case input.err != nil:
		return Response{}
	case messageType.number == typeNotification && frame.length == notificationLength:
		return parseServerNotification(input)
	case messageType.number == typeResponse && frame.length == responseLength:
		return parseResponse(input)
	}
	input.err = fmt.Errorf("%w: type %d, %d elements", errNotResponse, messageType.number, frame.length)
	return Response{}
}

// parseServerNotification parses the elements of a notification after its type.
func parseServerNotification(input *decoder) Response {
	method := input.read()
	input.readRaw()
	if string(method.data) == methodGoAway {
		return Response{Kind: ResponseGoAway}
	}
	return Response{Kind: ResponseOther}
}

// parseResponse parses the elements of a response after its type: number, error and result.
func parseResponse(input *decoder) Response {
	response := Response{Number: uint64(input.read().number)}
	rawError := input.readRaw()
	rawResult := input.readRaw()
	if input.err != nil {
		return response
	}
	if rawError[0] != formatNil {
		input.err = response.parseError(&decoder{data: rawError})
	} else {
		input.err = response.parseResult(&decoder{data: rawResult})
	}
	return response
}

// parseError parses the error of a response: its name and fields.
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

// parseResult parses the result of a response: a body, or the bool of a health check, and fields.
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

// parseMetadata parses the fields of a response. It ignores unknown fields and those that are not
// strings.
func parseMetadata(input *decoder) (metadata ResponseMetadata, err error) {
	fields := input.read()
	if input.err != nil || fields.kind != kindMap {
		return metadata, errFieldsType
	}
	for range fields.length {
		name := input.read()
		content := input.read()
		if input.err != nil {
			return metadata, errFieldsTruncated
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
