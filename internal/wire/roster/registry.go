package roster

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// This file is the registry's side of the protocol: a registry reads reports and writes responses.

// Report is a server's report of its own state.
type Report struct {
	Name      string
	Accepting bool   // the server accepts requests
	Body      string // request body as received
}

// ReadReport reads one report. It returns an error of the connection or of the HTTP syntax
// unchanged. The error for an HTTP request that is not a report matches wire.ErrMalformed.
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
		return Report{}, malformed(fmt.Errorf("not a report: %s %.40q", request.Method, request.URL.Path))
	}
	var content struct{ Duty string }
	if err := json.Unmarshal(body, &content); err != nil {
		return Report{}, malformed(fmt.Errorf("body of the report: %w", err))
	}
	if content.Duty != dutyOn && content.Duty != dutyOff {
		return Report{}, malformed(fmt.Errorf("%w: %.20q", errUnknownDuty, content.Duty))
	}
	return Report{Name: name, Accepting: content.Duty == dutyOn, Body: string(body)}, nil
}

// ReportAccepted is the registry's response to an accepted report.
const ReportAccepted = "HTTP/1.1 204 No Content\r\n\r\n"
