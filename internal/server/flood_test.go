package server

import (
	"errors"
	"io"
	"strings"
	"testing"
)

// Guards against one client that sends tiny messages at full speed: it must not keep the others waiting,
// nor make the server go on for as long as it likes.
func TestClientConn_FloodOfTinyMessagesEnds(t *testing.T) {
	for name, message := range map[string]string{
		"notifications": "\x93\x02\xa1x\x90",
		"health checks": healthCheck(1),
	} {
		s := newServerWithMemory(64 << 20)
		client, socket, _ := addClientWithPeer(t, s)
		socket.bytes = strings.Repeat(message, readBufferBytes/len(message))
		if s.OnTraffic(socket); client.state != connMuted {
			t.Errorf("%s: state %v after %d messages in one read, want muted", name, client.state,
				readBufferBytes/len(message))
		}
	}
}

// Guards against one client that sends invalid requests at full speed, also under ever new names.
func TestClientConn_FloodOfInvalidRequestsEnds(t *testing.T) {
	f := startServer(t, nil)
	client := f.dialClient()
	invalid := strings.Replace(requestFrame(1, "a1", "x"), "quote", "quite", 1)
	client.send("%s", strings.Repeat(invalid, maxInvalidInARow))
	client.send("%s", requestFrame(2, "a2", "x")) // a valid one starts a new row
	f.executor.expectCommand("begin", "a2")
	f.executor.sendCompletion(1, "a2", "done", "r")
	client.expect(answerPrefix(2) + resultPrefix + "\x01r\x80")
	client.send("%s", strings.Repeat(invalid, maxInvalidInARow+1))
	for range maxInvalidInARow + 1 {
		client.expect(answerPrefix(1) + invalidPayload + "\x80\xc0")
	}
	if _, err := client.in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("error %v after too many invalid requests, want the connection closed", err)
	}
}
