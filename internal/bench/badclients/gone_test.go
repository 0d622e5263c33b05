package badclients

import (
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"swiftcourse/internal/bench/process"
	"swiftcourse/internal/wire/rpc"
)

// startForwarder starts a worker process and a forwarder process that sends requests to it.
func startForwarder(t *testing.T) (forwarder, worker *process.Server) {
	t.Helper()
	worker = startServer(t, processConfig())
	config := processConfig()
	config.Args = []string{"forward"}
	config.OperatorFile = fmt.Sprintf("forward-to n1=%s\n", worker.Addr)
	return startServer(t, config), worker
}

// targets returns a server, and a forwarder with its worker: clients connect to the one, and the other
// runs the requests.
func targets(t *testing.T) map[string]struct{ address, runs *process.Server } {
	t.Helper()
	server := startServer(t, processConfig())
	forwarder, worker := startForwarder(t)
	return map[string]struct{ address, runs *process.Server }{
		"server":    {server, server},
		"forwarder": {forwarder, worker},
	}
}

// Guards against a request that must not run twice and is run again when its message comes again, 50 ms
// after its client has left.
func TestClientGone_SentAgainRunsOnce(t *testing.T) {
	const (
		clients  = 8
		requests = 10 // of each
		pause    = 50 * time.Millisecond
	)
	for name, target := range targets(t) {
		t.Run(name, func(t *testing.T) {
			var senders sync.WaitGroup
			for i := range clients {
				senders.Go(func() {
					for n := range requests {
						request := newRequest()
						request.Class = orderClass
						// The client leaves before, during and after the run.
						sendAndLeave(t, target.address.Addr, request, time.Duration(i*n)*time.Millisecond)
						time.Sleep(pause)
						sendAndLeave(t, target.address.Addr, request, pause)
					}
				})
			}
			senders.Wait()
			stats := target.runs.Executor.Stats()
			if stats.Started < clients || stats.RepeatedRuns > 0 {
				t.Errorf("%d runs, %d of them repeated; want at least %d, none repeated",
					stats.Started, stats.RepeatedRuns, clients)
			}
		})
	}
}

// sendAndLeave sends a request on a connection of its own, and closes the connection after stay.
func sendAndLeave(t *testing.T, address string, request *rpc.Message, stay time.Duration) {
	conn, err := net.DialTimeout("tcp", address, answerTimeout)
	if err != nil {
		t.Error(err)
		return
	}
	_, _ = conn.Write(rpc.AppendRequest(nil, request))
	time.Sleep(stay)
	_ = conn.Close()
}

// Guards against requests that are run although their client wrote them and closed its connection at once,
// with much of its input still unread.
func TestClientGone_UnreadRequestsAreNotRun(t *testing.T) {
	const (
		clients    = 10
		requests   = 600
		settleTime = 300 * time.Millisecond
	)
	for name, target := range targets(t) {
		t.Run(name, func(t *testing.T) {
			// While the process is stopped it can't read anything before the close.
			if err := target.address.Signal(syscall.SIGSTOP); err != nil {
				t.Fatal(err)
			}
			for range clients {
				var frames []byte
				for range requests {
					request := newRequest()
					request.Class = orderClass
					frames = rpc.AppendRequest(frames, request)
				}
				conn, err := net.DialTimeout("tcp", target.address.Addr, answerTimeout)
				if err != nil {
					t.Fatal(err)
				}
				_, _ = conn.Write(frames)
				_ = conn.Close()
			}
			if err := target.address.Signal(syscall.SIGCONT); err != nil {
				t.Fatal(err)
			}
			// A request of another client is served after all of that was read.
			if client := newAskingClient(t, target.address.Addr); !client.exchange(newRequest()) {
				t.Errorf("another client's request: %v, want finished", client.outcome)
			}
			time.Sleep(settleTime)
			if started := target.runs.Executor.Stats().Started; started != 1 {
				t.Errorf("%d runs, want 1, that of the other client", started)
			}
		})
	}
}
