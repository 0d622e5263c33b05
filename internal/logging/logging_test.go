package logging

import (
	"bytes"
	"io"
	"log/slog"
	"regexp"
	"testing"
)

func TestSetOutput_LineFormat(t *testing.T) {
	t.Cleanup(func() { SetOutput(io.Discard) })
	var out bytes.Buffer
	SetOutput(&out)
	for _, c := range []struct {
		name string
		log  func()
		want string
	}{
		{"info level", func() { slog.Info("started", "name", "n1") }, `^time=\S+Z event=started name=n1\n$`},
		{"error level", func() { slog.Error("failed") }, `^time=\S+Z level=ERROR event=failed\n$`},
		{"in a group", func() { slog.Info("a", slog.Group("g", "msg", 1)) }, `^time=\S+Z event=a g\.msg=1\n$`},
	} {
		t.Run(c.name, func(t *testing.T) {
			out.Reset()
			c.log()
			if !regexp.MustCompile(c.want).Match(out.Bytes()) {
				t.Errorf("logged %q, want a match of %s", out.String(), c.want)
			}
		})
	}
}

func TestFormatDecimal(t *testing.T) {
	if got := FormatDecimal(1.25, 1) + " " + FormatDecimal(2, 0); got != "1.2 2" {
		t.Errorf("formatted 1.25 and 2 as %q, want \"1.2 2\"", got)
	}
}
