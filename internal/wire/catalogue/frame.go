package catalogue

import (
	"bytes"
	"errors"
	"strconv"

	"swiftcourse/internal/wire"
)

// Bounds of a message.
const (
	maxLine = 256      // bytes of a line: an id, a name and a length
	maxBody = 16 << 10 // bytes, four times a result's bound; a length beyond it is a broken stream
)

// lineEnd ends each line and each body.
const lineEnd = "\r\n"

// The commands of a server, the first token of its lines.
const (
	commandFetch = "FETCH"
	commandQuit  = "QUIT"
)

// The statuses of the proxy's replies, the second token of its lines.
const (
	statusData    = "DATA"
	statusLater   = "LATER"
	statusNoUse   = "NOUSE"
	statusFault   = "FAULT"
	statusTooSlow = "TOOSLOW"
)

// Causes of a malformed message.
var (
	errUnterminatedLine = errors.New("a line without end")
	errUnterminatedBody = errors.New("a body without its end")
	errReplyLine        = errors.New("a line without id and word")
	errReplyLength      = errors.New("a reply without a length")
	errCallLine         = errors.New("a call without its timeout or length")
)

// malformed returns the error for a message whose first offset bytes could be read.
func malformed(offset int, cause error) error {
	return &wire.ProtocolError{Protocol: "catalogue", Offset: offset, Err: cause}
}

// parseLine returns the line at the start of data and its length including its end, or 0 if data holds only a
// part of the line.
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

// parseBodySize parses the size of a body; valid is false for one that no message has.
func parseBodySize(token []byte) (size int, valid bool) {
	size, err := strconv.Atoi(string(token))
	return size, err == nil && size >= 0 && size <= maxBody
}

// parseBody returns the body of size bytes that starts at offset and the length of the whole message, or 0 if
// data holds only a part of it.
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
