package processor

import (
	"errors"

	"swiftcourse/internal/wire"
)

// Causes of a malformed line.
var (
	errNotObject    = errors.New("line is not a JSON object")
	errBlobEncoding = errors.New("blob is not base64")
	errMissingID    = errors.New("command has no request id")
)

// malformed returns the error for a line. Its offset is 0 because a line is parsed as a whole.
func malformed(cause error) error { return &wire.ProtocolError{Protocol: "processor", Err: cause} }
