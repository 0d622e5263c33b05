package fleet

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"swiftcourse/internal/policy/release"
)

// maxResponse bounds an answer that is read, in bytes: the accounts of a thousand servers.
const maxResponse = 16 << 20

// FetchStatus asks the server whose Control listens there what it knows of the fleet; since leaves out versions before that epoch, "" none.
func FetchStatus(addr, since string) (*Status, error) {
	s := &Status{}
	return s, callControl(addr, http.MethodGet, "/state?since="+url.QueryEscape(since), nil, s)
}

// FetchQuotas asks it how budgets stand there.
func FetchQuotas(addr string) (*QuotaStatus, error) {
	s := &QuotaStatus{}
	return s, callControl(addr, http.MethodGet, "/budgets", nil, s)
}

// FetchCounters asks it what is known there of what all were asked for.
func FetchCounters(addr string) (*CounterStatus, error) {
	s := &CounterStatus{}
	return s, callControl(addr, http.MethodGet, "/counts", nil, s)
}

// FetchLoadPlan asks it how plans stand there.
func FetchLoadPlan(addr string) (*LoadPlanStatus, error) {
	s := &LoadPlanStatus{}
	return s, callControl(addr, http.MethodGet, "/plans", nil, s)
}

// SendCommand asks it for a command, and tells the newest epoch after it. A refusal is an error in the leader's words.
func SendCommand(addr string, c release.Command) (release.Epoch, error) {
	b, err := json.Marshal(c)
	if err != nil {
		return 0, err
	}
	var said struct{ Newest release.Epoch }
	err = callControl(addr, http.MethodPost, "/command", b, &said)
	return said.Newest, err
}

func callControl(addr, method, path string, body []byte, to any) error {
	r, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	answer, err := (&http.Client{Timeout: controlTimeout}).Do(r) // longer than a server waits for the others
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxResponse))
	if err != nil {
		return err
	}
	if answer.StatusCode != http.StatusOK {
		var said struct{ Error string }
		if json.Unmarshal(text, &said) == nil && said.Error != "" {
			return errors.New(said.Error)
		}
		return fmt.Errorf("%s: %s", addr, answer.Status)
	}
	return json.Unmarshal(text, to)
}
