package badclients

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"swiftcourse/internal/wire/rpc"
)

// sendFromAll connects bad clients, all of which then at once write what encode returned for them, and
// waits until they have written it or were disconnected.
func sendFromAll(t *testing.T, address string, encode func() []byte) {
	t.Helper()
	var writers sync.WaitGroup
	start := make(chan struct{})
	for range badClients {
		conn := dial(t, address)
		data := encode()
		writers.Go(func() {
			<-start
			_ = conn.SetWriteDeadline(time.Now().Add(answerTimeout))
			_, _ = conn.Write(data) // fails if the server closes the connection, as it may
		})
	}
	close(start)
	writers.Wait()
}

// Guards against a server that outgrows its memory while it reads hundreds of large requests from
// each of hundreds of clients: the bound must hold for bytes, not for numbers of requests.
func TestMemory_HundredsOfLargeRequestsAtOnce(t *testing.T) {
	for name, grow := range map[string]func(*rpc.Message){
		"subject": func(m *rpc.Message) { m.Subject = strings.Repeat("7f3a9c21e0b4d655", 500) },
		"body":    func(m *rpc.Message) { m.Body = bytes.Repeat([]byte("b"), 2000) },
	} {
		t.Run(name, func(t *testing.T) {
			server := startServer(t, processConfig())
			client := startGoodClient(t, server.Addr, 10*time.Millisecond)
			for range 2 {
				sendFromAll(t, server.Addr, func() (b []byte) {
					for range 200 {
						request := newRequest(readClass)
						grow(request)
						b = rpc.AppendRequest(b, request)
					}
					return b
				})
			}
			client.finish(t)
			expectMemoryWithinLimit(t, server)
			if client.late > 0 || client.served == 0 {
				t.Errorf("good client: %d served, %d late; want some served, none late", client.served, client.late)
			}
		})
	}
}
