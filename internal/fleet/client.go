package fleet

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"swiftcourse/internal/policy/release"
)

// maxResponse bounds a response that is read, in bytes: the accounts of a thousand servers.
const maxResponse = 16 << 20

// The functions of this file call a process's control API at addr. An error response of the server
// is a *ControlError.

// FetchStatus returns what the process knows of the fleet. Versions before the epoch since are left
// out; "" leaves out none.
func FetchStatus(addr, since string) (*Status, error) {
	status := &Status{}
	return status, callControl(addr, http.MethodGet, statusPath+"?since="+url.QueryEscape(since), nil, status)
}

// FetchQuotas returns the status of quotas at the process.
func FetchQuotas(addr string) (*QuotaStatus, error) {
	status := &QuotaStatus{}
	return status, callControl(addr, http.MethodGet, quotasPath, nil, status)
}

// FetchCounters returns what the process knows of the fleet's counters.
func FetchCounters(addr string) (*CounterStatus, error) {
	status := &CounterStatus{}
	return status, callControl(addr, http.MethodGet, countersPath, nil, status)
}

// FetchLoadPlan returns the status of load plans at the process.
func FetchLoadPlan(addr string) (*LoadPlanStatus, error) {
	status := &LoadPlanStatus{}
	return status, callControl(addr, http.MethodGet, loadPlanPath, nil, status)
}

// SendCommand submits a command, waits for its result, and returns the newest epoch after it.
func SendCommand(addr string, command release.Command) (release.Epoch, error) {
	body, err := json.Marshal(command)
	if err != nil {
		return 0, err
	}
	var response commandResponse
	err = callControl(addr, http.MethodPost, commandPath, body, &response)
	return response.Newest, err
}

// callControl sends a request and decodes the response into result.
func callControl(addr, method, path string, body []byte, result any) error {
	request, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: controlTimeout} // longer than a server waits for the others
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponse))
	if err != nil {
		return err
	}
	if response.StatusCode == http.StatusOK {
		return json.Unmarshal(content, result)
	}
	failure := &ControlError{Addr: addr, Status: response.Status}
	var message errorResponse
	if json.Unmarshal(content, &message) == nil {
		failure.Message = message.Error
	}
	return failure
}
