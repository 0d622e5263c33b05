package peers

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"swiftcourse/internal/judge/version"
)

// maxState bounds an answer that is read, in bytes: the accounts of a thousand servers.
const maxState = 16 << 20

// AskState asks the server whose Control listens there what it knows of the fleet; since leaves out versions before that epoch, "" none.
func AskState(addr, since string) (*State, error) {
	s := &State{}
	return s, ask(addr, http.MethodGet, "/state?since="+url.QueryEscape(since), nil, s)
}

// AskBudgets asks it how budgets stand there.
func AskBudgets(addr string) (*BudgetState, error) {
	s := &BudgetState{}
	return s, ask(addr, http.MethodGet, "/budgets", nil, s)
}

// AskCounts asks it what is known there of what all were asked for.
func AskCounts(addr string) (*CountsState, error) {
	s := &CountsState{}
	return s, ask(addr, http.MethodGet, "/counts", nil, s)
}

// AskPlans asks it how plans stand there.
func AskPlans(addr string) (*PlanState, error) {
	s := &PlanState{}
	return s, ask(addr, http.MethodGet, "/plans", nil, s)
}

// AskCommand asks it for a command, and tells the newest epoch after it. A refusal is an error in the leader's words.
func AskCommand(addr string, c version.Command) (version.Epoch, error) {
	b, err := json.Marshal(c)
	if err != nil {
		return 0, err
	}
	var said struct{ Newest version.Epoch }
	err = ask(addr, http.MethodPost, "/command", b, &said)
	return said.Newest, err
}

func ask(addr, method, path string, body []byte, to any) error {
	r, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	answer, err := (&http.Client{Timeout: controlTimeout}).Do(r) // longer than a server waits for the others
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxState))
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
