package catalogue

import (
	"bytes"
	"errors"

	"swiftcourse/internal/wire"
)

// Bounds of a message.
const (
	maxLine = 256      // bytes of an id, a word and a length
	maxBody = 16 << 10 // bytes, four times a result's bound; a length beyond it is a broken stream
)

// lineEnd ends each line and each body.
const lineEnd = "\r\n"

// millisecondsPerSecond converts between the wire's milliseconds and seconds.
const millisecondsPerSecond = 1000

// The words of a server.
const (
	wordFetch = "FETCH"
	wordQuit  = "QUIT"
)

// The words of the proxy.
const (
	wordData    = "DATA"
	wordLater   = "LATER"
	wordNoUse   = "NOUSE"
	wordFault   = "FAULT"
	wordTooSlow = "TOOSLOW"
)

// Causes of a malformed message.
var (
	errUnterminatedLine = errors.New("a line without end")
	errUnterminatedBody = errors.New("a body without its end")
	errReplyHead        = errors.New("a line without id and word")
	errReplyLength      = errors.New("a reply without a length")
	errCallHead         = errors.New("a call without its timeout or length")
)

// malformed returns the error for a message whose first offset bytes could be read.
func malformed(offset int, cause error) error {
	return &wire.ProtocolError{Protocol: "catalogue", Offset: offset, Err: cause}
}

// parseLine returns the line at the start of data and its length with its end, which is 0 while it isn't whole.
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

// parseBody returns the body of size bytes that starts at offset and the length of the whole message, which
// is 0 while it isn't whole.
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
