package roster

import (
	"errors"

	"swiftcourse/internal/wire"
)

const (
	pathPrefix = "/roster/"
	dutyOn     = "on"
	dutyOff    = "off"
	lineEnd    = "\r\n"
	headEnd    = lineEnd + lineEnd
)

// maxHead bounds a head and a body, in bytes: far over any that the registry sends.
const maxHead = 8 << 10

// Causes of a malformed response or report.
var (
	errUnterminatedHead = errors.New("a head without end")
	errStatusLine       = errors.New("no status line")
	errStatus           = errors.New("no status")
	errBodyLength       = errors.New("no length of the body")
	errChunked          = errors.New("a body in chunks")
	errDuty             = errors.New("report: neither on nor off")
)

// malformed returns the error for a message; it stands in the head, which is judged as a whole.
func malformed(cause error) error { return &wire.ProtocolError{Protocol: "roster", Err: cause} }
