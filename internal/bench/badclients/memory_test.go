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
						request := newRequest()
						grow(request)
						b = rpc.AppendRequest(b, request)
					}
					return b
				})
			}
			client.finish(t)
			expectMemoryWithinLimit(t, server)
		})
	}
}

// Guards against a server whose memory grows with every new subject that is asked about, as the subjects
// of answered requests are kept for their repeats.
func TestMemory_EverNewSubjects(t *testing.T) {
	config := processConfig()
	config.Settings.Deployment.ResultCacheMs = 60_000
	config.Settings.Deployment.MemoryPerKeyKb = 0.1
	config.Executor.CPUSeconds = func(string, string) float64 { return 0 }
	server := startServer(t, config)
	var clients sync.WaitGroup
	for range 8 {
		client := newAskingClient(t, server.Addr)
		clients.Go(func() {
			for range 1000 {
				request := newRequest()
				request.Subject = strings.Repeat(request.ID, 500)
				client.exchange(request)
			}
		})
	}
	clients.Wait()
	expectMemoryWithinLimit(t, server)
	if client := newAskingClient(t, server.Addr); !client.exchange(newRequest()) {
		t.Error("a request afterwards was not served")
	}
}
