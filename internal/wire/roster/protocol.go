package roster

import (
	"errors"
	"fmt"

	"swiftcourse/internal/wire"
)

// pathPrefix precedes the server's name in the path of a report.
const pathPrefix = "/roster/"

// The values of a report's duty.
const (
	dutyOn  = "on"
	dutyOff = "off"
)

// The ends of the lines and of the head of an HTTP message.
const (
	lineEnd = "\r\n"
	headEnd = lineEnd + lineEnd
)

// maxPartLength is the largest length of a head and of a body in bytes, far above those that the
// registry sends.
const maxPartLength = 8 << 10

// Causes of a malformed response or report.
var (
	errUnterminatedHead = fmt.Errorf("no end of the head within %d bytes", maxPartLength)
	errStatusLine       = errors.New("first line is not an HTTP/1 status line")
	errStatus           = errors.New("status is not a number")
	errBodyLength       = fmt.Errorf("content length is not a number from 0 to %d", maxPartLength)
	errTransferEncoding = errors.New("unsupported transfer encoding of the body")
	errUnknownDuty      = fmt.Errorf("duty of the report is neither %q nor %q", dutyOn, dutyOff)
)

// malformed returns the error for a message. Its offset is 0 because a head is parsed as a whole.
func malformed(cause error) error { return &wire.ProtocolError{Protocol: "roster", Err: cause} }
