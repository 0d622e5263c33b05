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
	paymentClass
)

const testTimeout = 10 * time.Second

// testWorker is a worker that answers all requests alike.
type testWorker struct {
	answer   func(number uint64) []byte // nil if it closes the connection instead
	received chan uint64
}

// start listens on loopback and returns the worker's address.
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
			if w.answer == nil {
				return
			}
			if _, err := socket.Write(w.answer(message.Number)); err != nil {
				return
			}
		}
	}
}

func finishes(number uint64) []byte {
	return rpc.AppendResult(nil, number, []byte("done"), rpc.ResponseMetadata{})
}
func rejects(number uint64) []byte {
	return rpc.AppendRejected(nil, number, rpc.ResponseMetadata{RetryAfter: 0.2})
}
func fails(number uint64) []byte { return rpc.AppendFailed(nil, number, rpc.ResponseMetadata{}) }
func ignores(uint64) []byte      { return nil }

// startTestDispatcher returns a dispatcher whose workers are connected, and its results.
func startTestDispatcher(t *testing.T, workers ...*testWorker) (*Dispatcher, <-chan forwarding.Result) {
	t.Helper()
	results := make(chan forwarding.Result, 16)
	started := time.Now()
	config := Config{
		Classes: []admission.Class{
			idempotentClass: {Idempotency: admission.Idempotent},
			paymentClass:    {Idempotency: admission.AtMostOnce},
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
	waitUntil(t, "the workers are connected", func() bool { return connectedWorkers(dispatcher) >= len(workers) })
	return dispatcher, results
}

func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %s: %s", testTimeout, what)
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
		t.Fatal("no room for a request")
	}
}

func await(t *testing.T, results <-chan forwarding.Result) forwarding.Result {
	t.Helper()
	select {
	case result := <-results:
		return result
	case <-time.After(testTimeout):
		t.Fatalf("no result within %s", testTimeout)
		return forwarding.Result{}
	}
}

// resultCase is a request at workers, and what becomes of it.
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
			workers: []*testWorker{{answer: finishes}}, class: paymentClass, remainingSeconds: 20,
			want: admission.Finished, wantAttempts: 1,
		},
		"failed at the worker": {
			workers: []*testWorker{{answer: fails}, {answer: fails}}, remainingSeconds: 20,
			want: admission.Failed, wantAttempts: 1,
		},
		"rejected by all that may be tried": {
			workers: []*testWorker{{answer: rejects}, {answer: rejects}, {answer: rejects}},
			class:   paymentClass, remainingSeconds: 20,
			want: admission.Rejected, wantAttempts: 2,
		},
		"connection lost, idempotent": {
			workers: []*testWorker{{}, {}, {}}, class: idempotentClass, remainingSeconds: 20,
			want: admission.Failed, wantAttempts: 2,
		},
		"connection lost, at most once": {
			workers: []*testWorker{{}, {}, {}}, class: paymentClass, remainingSeconds: 20,
			want: admission.Failed, wantAttempts: 1,
		},
		"no answer before the deadline": {
			workers: []*testWorker{{answer: ignores}}, remainingSeconds: 0.1,
			want: admission.Cancelled, wantAttempts: 1,
		},
		"no worker": {
			remainingSeconds: 20, want: admission.Rejected,
		},
	}
}

func TestDispatcher_ReturnsOneResult(t *testing.T) {
	for name, c := range resultCases() {
		t.Run(name, func(t *testing.T) {
			dispatcher, results := startTestDispatcher(t, c.workers...)
			dispatch(t, dispatcher, c.class, c.remainingSeconds)
			result := await(t, results)
			if result.ID != "r1" || result.Outcome != c.want {
				t.Errorf("%+v, want %s", result, c.want)
			}
			waitUntil(t, "all attempts arrived", func() bool { return countAttempts(c.workers) >= c.wantAttempts })
			if attempts := countAttempts(c.workers); attempts != c.wantAttempts || len(results) > 0 {
				t.Errorf("%d attempts, want %d; %d more results", attempts, c.wantAttempts, len(results))
			}
		})
	}
}

func TestDispatcher_CancelEndsARequest(t *testing.T) {
	worker := &testWorker{answer: ignores}
	dispatcher, results := startTestDispatcher(t, worker)
	dispatch(t, dispatcher, idempotentClass, 20)
	<-worker.received
	dispatcher.Cancel("r1")
	if result := await(t, results); result.Outcome != admission.Cancelled {
		t.Errorf("%+v", result)
	}
}
