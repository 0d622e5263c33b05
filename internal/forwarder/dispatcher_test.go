package forwarder

import (
	"net"
	"testing"
	"time"

	"swiftcourse/admission"
	"swiftcourse/internal/forwarding"
	"swiftcourse/internal/wire/rpc"
)

const (
	idempotentClass = iota
	atMostOnceClass
)

const testTimeout = 10 * time.Second

// testWorker is a worker that responds to every request in the same way.
type testWorker struct {
	respond  func(number uint64) []byte // returns the encoded response; nil to close the connection instead
	received chan uint64                // numbers of the received requests
}

// start listens on a loopback address and returns it.
func (w *testWorker) start(t *testing.T) string {
	t.Helper()
	w.received = make(chan uint64, 16)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			go w.serve(socket)
		}
	}()
	return listener.Addr().String()
}

func (w *testWorker) serve(socket net.Conn) {
	defer func() { _ = socket.Close() }()
	var input []byte
	chunk := make([]byte, 4096)
	for {
		size, err := socket.Read(chunk)
		if err != nil {
			return
		}
		input = append(input, chunk[:size]...)
		for {
			message, size, err := rpc.ParseMessage(input)
			if err != nil || size == 0 {
				break
			}
			input = input[size:]
			if message.Kind != rpc.KindRequest {
				continue
			}
			w.received <- message.Number
			if w.respond == nil {
				return
			}
			if _, err := socket.Write(w.respond(message.Number)); err != nil {
				return
			}
		}
	}
}

func respondFinished(number uint64) []byte {
	return rpc.AppendResult(nil, number, []byte("done"), rpc.ResponseMetadata{})
}
func respondRejected(number uint64) []byte {
	return rpc.AppendRejected(nil, number, rpc.ResponseMetadata{RetryAfter: 0.2})
}
func respondFailed(number uint64) []byte {
	return rpc.AppendFailed(nil, number, rpc.ResponseMetadata{})
}
func respondNothing(uint64) []byte { return nil }

// startTestDispatcher starts a dispatcher, waits until it is connected to all workers, and returns
// it with the channel of its results.
func startTestDispatcher(t *testing.T, workers ...*testWorker) (*Dispatcher, <-chan forwarding.Result) {
	t.Helper()
	results := make(chan forwarding.Result, 16)
	started := time.Now()
	config := Config{
		MaxQueuedBytes: 1 << 20,
		Classes: []admission.Class{
			idempotentClass: {Idempotency: admission.Idempotent},
			atMostOnceClass: {Idempotency: admission.AtMostOnce},
		},
		Now: func() float64 { return 1000 + time.Since(started).Seconds() },
		OnResults: func(batch []forwarding.Result) {
			for _, result := range batch {
				results <- result
			}
		},
		OnWorkerAvailable: func() {},
	}
	names := []string{"w1", "w2", "w3"}
	for i, worker := range workers {
		config.Workers = append(config.Workers, Worker{Name: names[i], Addr: worker.start(t)})
	}
	dispatcher := Start(config)
	t.Cleanup(dispatcher.Stop)
	waitUntil(t, "all workers are connected", func() bool { return connectedWorkers(dispatcher) >= len(workers) })
	return dispatcher, results
}

func waitUntil(t *testing.T, description string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %s: %s", testTimeout, description)
		}
		time.Sleep(time.Millisecond)
	}
}

func countAttempts(workers []*testWorker) int {
	attempts := 0
	for _, worker := range workers {
		attempts += len(worker.received)
	}
	return attempts
}

func connectedWorkers(dispatcher *Dispatcher) int {
	count := 0
	if report := dispatcher.TakeReport(); report != nil {
		for _, worker := range report.Workers {
			if worker.Connected {
				count++
			}
		}
	}
	return count
}

func dispatch(t *testing.T, dispatcher *Dispatcher, class int, remainingSeconds float64) {
	t.Helper()
	request := forwarding.Request{
		ID:               "r1",
		Class:            class,
		Message:          rpc.Message{Kind: rpc.KindRequest, ID: "r1", Class: "s"},
		RemainingSeconds: remainingSeconds,
	}
	if !dispatcher.Dispatch(request) {
		t.Fatal("Dispatch returned false, want the request queued")
	}
}

func awaitResult(t *testing.T, results <-chan forwarding.Result) forwarding.Result {
	t.Helper()
	select {
	case result := <-results:
		return result
	case <-time.After(testTimeout):
		t.Fatalf("no result within %s", testTimeout)
		return forwarding.Result{}
	}
}

// resultCase is a request, the workers that it may be sent to, and its expected outcome.
type resultCase struct {
	workers          []*testWorker
	class            int
	remainingSeconds float64
	want             admission.Outcome
	wantAttempts     int
}

func resultCases() map[string]resultCase {
	return map[string]resultCase{
		"finished": {
			workers: []*testWorker{{respond: respondFinished}}, class: atMostOnceClass, remainingSeconds: 20,
			want: admission.Finished, wantAttempts: 1,
		},
		"failed by the worker": {
			workers: []*testWorker{{respond: respondFailed}, {respond: respondFailed}}, remainingSeconds: 20,
			want: admission.Failed, wantAttempts: 1,
		},
		"rejected by all attempted workers": {
			workers: []*testWorker{{respond: respondRejected}, {respond: respondRejected}, {respond: respondRejected}},
			class:   atMostOnceClass, remainingSeconds: 20,
			want: admission.Rejected, wantAttempts: 2,
		},
		"connection lost, idempotent": {
			workers: []*testWorker{{}, {}, {}}, class: idempotentClass, remainingSeconds: 20,
			want: admission.Failed, wantAttempts: 2,
		},
		"connection lost, at most once": {
			workers: []*testWorker{{}, {}, {}}, class: atMostOnceClass, remainingSeconds: 20,
			want: admission.Failed, wantAttempts: 1,
		},
		"no response before the deadline": {
			workers: []*testWorker{{respond: respondNothing}}, remainingSeconds: 0.1,
			want: admission.Cancelled, wantAttempts: 1,
		},
		"no worker configured": {
			remainingSeconds: 20, want: admission.Rejected,
		},
	}
}

func TestDispatcher_ReturnsOneResultPerRequest(t *testing.T) {
	for name, c := range resultCases() {
		t.Run(name, func(t *testing.T) {
			dispatcher, results := startTestDispatcher(t, c.workers...)
			dispatch(t, dispatcher, c.class, c.remainingSeconds)
			result := awaitResult(t, results)
			if result.ID != "r1" || result.Outcome != c.want {
				t.Errorf("got result %+v, want request r1 with outcome %s", result, c.want)
			}
			waitUntil(t, "all attempts arrived", func() bool { return countAttempts(c.workers) >= c.wantAttempts })
			if attempts := countAttempts(c.workers); attempts != c.wantAttempts || len(results) > 0 {
				t.Errorf("got %d attempts and %d further results, want %d attempts and no further result",
					attempts, len(results), c.wantAttempts)
			}
		})
	}
}

func TestDispatcher_CancelCompletesRequest(t *testing.T) {
	worker := &testWorker{respond: respondNothing}
	dispatcher, results := startTestDispatcher(t, worker)
	dispatch(t, dispatcher, idempotentClass, 20)
	<-worker.received
	dispatcher.Cancel("r1")
	if result := awaitResult(t, results); result.Outcome != admission.Cancelled {
		t.Errorf("got result %+v, want outcome %s", result, admission.Cancelled)
	}
}
