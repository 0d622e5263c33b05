package catalogue

import (
	"math"
	"strconv"

	"swiftcourse/internal/wire"
)

// AppendCall appends a call with its timeout in seconds. On the wire, the timeout is rounded down
// to whole milliseconds and is at least one.
func AppendCall(b []byte, id string, timeout float64, body []byte) []byte {
	milliseconds := max(1, math.Floor(timeout*wire.MillisecondsPerSecond))
	b = append(b, commandFetch+" "...)
	b = append(b, id...)
	b = strconv.AppendInt(append(b, ' '), int64(milliseconds), 10)
	b = strconv.AppendInt(append(b, ' '), int64(len(body)), 10)
	return appendBody(b, body)
}

// appendBody appends the end of the current line, the body and the end of the body.
func appendBody(b, body []byte) []byte {
	b = append(b, lineEnd...)
	b = append(b, body...)
	return append(b, lineEnd...)
}
