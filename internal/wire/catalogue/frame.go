package catalogue

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"

	"swiftcourse/internal/wire"
)

// Bounds of a message.
const (
	maxLine = 256      // bytes of a line: a command or status, an id and at most two numbers
	maxBody = 16 << 10 // bytes of a body, four times the limit of a result; a greater length means a broken stream
)

// lineEnd ends each line and each body.
const lineEnd = "\r\n"

// The commands of a server, which are the first token of its lines.
const (
	commandFetch = "FETCH"
	commandQuit  = "QUIT"
)

// The statuses in the proxy's replies, which are the second token of its lines.
const (
	statusData    = "DATA"
	statusLater   = "LATER"
	statusNoUse   = "NOUSE"
	statusFault   = "FAULT"
	statusTooSlow = "TOOSLOW"
)

// Causes of a malformed message.
var (
	errUnterminatedLine = fmt.Errorf("no line end within %d bytes", maxLine)
	errUnterminatedBody = errors.New("body is not followed by a line end")
	errReplyLine        = errors.New("reply line without id and status")
	errReplyLength      = fmt.Errorf("reply line without a body length from 0 to %d", maxBody)
	errCallLine         = fmt.Errorf("call line without a timeout >= 0 and a body length from 0 to %d", maxBody)
)

// malformed returns the error for a message of which the first offset bytes were parsed.
func malformed(offset int, cause error) error {
	return &wire.ProtocolError{Protocol: "catalogue", Offset: offset, Err: cause}
}

// parseLine returns the line at the start of data without its line end, and its length with the
// line end, or 0 if data holds only a part of the line.
func parseLine(data []byte) (line []byte, length int, err error) {
	end := bytes.Index(data[:min(len(data), maxLine)], []byte(lineEnd))
	if end >= 0 {
		return data[:end], end + len(lineEnd), nil
	}
	if len(data) >= maxLine {
		return nil, 0, malformed(0, errUnterminatedLine)
	}
	return nil, 0, nil
}

// parseBodySize parses the size of a body. valid is false unless it is from 0 to maxBody.
func parseBodySize(token []byte) (size int, valid bool) {
	size, err := strconv.Atoi(string(token))
	return size, err == nil && size >= 0 && size <= maxBody
}

// parseBody returns the body of size bytes at offset, and the length of the whole message, or 0 if
// data holds only a part of the message.
func parseBody(data []byte, offset, size int) (body []byte, length int, err error) {
	end := offset + size
	length = end + len(lineEnd)
	if len(data) < length {
		return nil, 0, nil
	}
	if string(data[end:length]) != lineEnd {
		return nil, 0, malformed(end, errUnterminatedBody)
	}
	return data[offset:end], length, nil
}
