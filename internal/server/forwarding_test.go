package server

import (
	"reflect"
	"testing"

	"swiftcourse/internal/config"
	"swiftcourse/internal/forwarding"
	"swiftcourse/internal/requesttable"
	"swiftcourse/internal/wire/rpc"
)

// A worker needs all fields of a request, for example to recognise repeats. The forwarder must save
// all of them except the message number and the body.
func TestForwarding_SavesAllMessageFields(t *testing.T) {
	s := New(&config.Startup{}, nil)
	s.EnableForwarding(func(forwarding.Request) bool { return true }, func(string) {})
	message := rpc.Message{Kind: rpc.KindRequest, Number: 7, ID: "a1", Class: "quote", Tenant: "acme",
		Subject: "s", Key: "k", Retry: true, ExpectedWork: 0.2, ArrivedAt: 1, Timeout: 2,
		NoTimeout: true, Client: 3, Memory: 4, Priority: 0.5, Body: []byte("x")}
	s.saveForForwarding(&requesttable.Request{ID: "a1"}, &message)
	got, want := *s.fleet.forwarding.messages["a1"], message
	want.Number, want.Body = 0, nil
	if !reflect.DeepEqual(got, want) {
		t.Errorf("saved message %+v, want %+v", got, want)
	}
}
