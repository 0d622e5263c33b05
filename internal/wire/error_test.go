package wire

import (
	"errors"
	"fmt"
	"io"
	"testing"
)

func TestProtocolError_NamesOffsetAndCause(t *testing.T) {
	err := fmt.Errorf("reading: %w", &ProtocolError{Protocol: "catalogue", Offset: 7, Err: io.ErrNoProgress})
	if !errors.Is(err, ErrMalformed) || !errors.Is(err, io.ErrNoProgress) {
		t.Errorf("error %v: want it to match ErrMalformed and io.ErrNoProgress", err)
	}
	var protocolError *ProtocolError
	if !errors.As(err, &protocolError) || protocolError.Offset != 7 {
		t.Errorf("error %v: want a ProtocolError with offset 7", err)
	}
	want := "reading: catalogue: malformed message at byte 7: " + io.ErrNoProgress.Error()
	if err.Error() != want {
		t.Errorf("got %q, want %q", err, want)
	}
}
