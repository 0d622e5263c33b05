package roster

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// This file is the registry's side of the protocol: what a registry reads and writes.

// Report is what a server says of itself.
type Report struct {
	Name      string
	Accepting bool   // it accepts requests
	Body      string // as received
}

// ReadReport reads one report. An error of the connection, or of what isn't HTTP, is returned as it is; one of an
// HTTP request that isn't a report matches wire.ErrMalformed.
func ReadReport(in *bufio.Reader) (Report, error) {
	request, err := http.ReadRequest(in)
	if err != nil {
		return Report{}, err
	}
	body, err := io.ReadAll(io.LimitReader(request.Body, maxPartLength))
	if err != nil {
		return Report{}, err
	}
	name, found := strings.CutPrefix(request.URL.Path, pathPrefix)
	if request.Method != http.MethodPut || !found || name == "" {
		return Report{}, malformed(fmt.Errorf("no report: %s %.40q", request.Method, request.URL.Path))
	}
	var content struct{ Duty string }
	if err := json.Unmarshal(body, &content); err != nil {
		return Report{}, malformed(fmt.Errorf("report: %w", err))
	}
	if content.Duty != dutyOn && content.Duty != dutyOff {
		return Report{}, malformed(errUnknownDuty)
	}
	return Report{Name: name, Accepting: content.Duty == dutyOn, Body: string(body)}, nil
}

// ReportAccepted is the response to a report that was accepted.
const ReportAccepted = "HTTP/1.1 204 No Content\r\n\r\n"
