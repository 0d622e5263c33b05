package fleet

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"swiftcourse/internal/policy/release"
)

// maxResponseBytes limits the size of a response. It has room for the accounts of a thousand servers.
const maxResponseBytes = 16 << 20

// The functions of this file call the control API of the process at addr. They return an error
// response of the server as a *ControlError.

// FetchStatus returns the status of the fleet as known to the process. Versions older than the epoch
// since are omitted; an empty since omits none.
func FetchStatus(addr, since string) (*Status, error) {
	status := &Status{}
	return status, callControl(addr, http.MethodGet, statusPath+"?since="+url.QueryEscape(since), nil, status)
}

// FetchQuotas returns the status of quotas at the process.
func FetchQuotas(addr string) (*QuotaStatus, error) {
	status := &QuotaStatus{}
	return status, callControl(addr, http.MethodGet, quotasPath, nil, status)
}

// FetchCounters returns the fleet's counters as known to the process.
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
	client := &http.Client{Timeout: controlTimeout} // longer than a server waits for other processes
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
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
