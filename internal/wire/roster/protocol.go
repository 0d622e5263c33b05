package roster

import (
	"errors"

	"swiftcourse/internal/wire"
)

// pathPrefix precedes the server's name in the path of a report.
const pathPrefix = "/roster/"

// The values of a report's duty.
const (
	dutyOn  = "on"
	dutyOff = "off"
)

// What ends the lines and the head of an HTTP message.
const (
	lineEnd = "\r\n"
	headEnd = lineEnd + lineEnd
)

// maxPartLength bounds a head, and a body, in bytes: far over any that the registry sends.
const maxPartLength = 8 << 10

// Causes of a malformed response or report.
var (
	errUnterminatedHead = errors.New("a head without end")
	errStatusLine       = errors.New("no status line")
	errStatus           = errors.New("no status")
	errBodyLength       = errors.New("no length of the body")
	errChunkedBody      = errors.New("a body in chunks")
	errUnknownDuty      = errors.New("report: neither on nor off")
)

// malformed returns the error for a message. Its offset is 0, as a head is parsed as a whole.
func malformed(cause error) error { return &wire.ProtocolError{Protocol: "roster", Err: cause} }
