package server

import (
	"reflect"
	"testing"

	"swiftcourse/internal/config"
	"swiftcourse/internal/forwarding"
	"swiftcourse/internal/requesttable"
	"swiftcourse/internal/wire/rpc"
)

// A forwarder's worker has to know a repeat too: all that a request came with goes on with it.
func TestForwarding_KeepsAllMessageFields(t *testing.T) {
	s := New(&config.Startup{}, nil)
	s.EnableForwarding(func(forwarding.Request) bool { return true }, func(string) {})
	message := rpc.Message{Kind: rpc.Task, Number: 7, ID: "a1", Stage: "quote", Tenant: "acme",
		Subject: "s", Key: "k", Again: true, Hint: 0.2, Came: 1, Wait: 2,
		NoWait: true, Caller: 3, Memory: 4, Rank: 0.5, Body: []byte("x")}
	s.keepForForwarding(&requesttable.Request{ID: "a1"}, &message)
	got, want := *s.fleet.forwarding.messages["a1"], message
	want.Number, want.Body = 0, nil
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, want %+v", got, want)
	}
}
