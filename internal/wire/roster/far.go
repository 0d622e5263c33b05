package roster

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// This file is the far side of the protocol: what a roster reads and writes. The stand-in speaks with it.

// Report is what a server says of itself.
type Report struct {
	Name  string
	Takes bool // it takes work
	Body  string
}

// ReadReport reads one report.
func ReadReport(in *bufio.Reader) (Report, error) {
	call, err := http.ReadRequest(in)
	if err != nil {
		return Report{}, err
	}
	text, err := io.ReadAll(io.LimitReader(call.Body, maxHead))
	if err != nil {
		return Report{}, err
	}
	name, found := strings.CutPrefix(call.URL.Path, "/roster/")
	if call.Method != http.MethodPut || !found || name == "" {
		return Report{}, fmt.Errorf("no report: %s %.40q", call.Method, call.URL.Path)
	}
	var said struct{ Duty string }
	if err := json.Unmarshal(text, &said); err != nil {
		return Report{}, fmt.Errorf("report: %w", err)
	}
	if said.Duty != "on" && said.Duty != "off" {
		return Report{}, errors.New("report: neither on nor off")
	}
	return Report{Name: name, Takes: said.Duty == "on", Body: string(text)}, nil
}

// Taken is the answer to a report that was taken.
const Taken = "HTTP/1.1 204 No Content\r\n\r\n"
