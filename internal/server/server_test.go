package server

import (
	"fmt"
	"testing"
	"time"

	"swiftcourse/internal/fake/upstream"
	wirecatalogue "swiftcourse/internal/wire/catalogue"
)

func TestServer_TablesReturnToEmpty(t *testing.T) {
	f := startServer(t, nil)
	fakeUpstream, err := upstream.Start("127.0.0.9:0", func(n int, _ wirecatalogue.Call) upstream.Response {
		return upstream.Response{Body: []byte("d"), Disconnect: n%5 == 0} // every fifth call breaks its connection
	})
	if err != nil {
		t.Fatal(err)
	}
	defer fakeUpstream.Close()
	addresses := f.addresses()
	addresses.Upstream = fakeUpstream.Addr()
	f.server.SetEndpoints(addresses)
	serial := 0
	next := func() int { serial++; return serial }
	for i := range 150 {
		client, id := f.dialClient(), fmt.Sprint("t", i)
		client.send("%s", requestFrame(1, id, "x", withTimeout(3), withSubject(id)))
		f.executor.expectCommand("begin", id)
		if i%3 == 0 { // the client leaves, and its run ends after that
			_ = client.Close()
			f.executor.sendCompletion(next(), id, "aborted", "")
			continue
		}
		f.executor.sendCall(next(), id, "c")
		f.executor.expectCommand("answer", id)
		f.executor.sendCompletion(next(), id, "done", "r")
		client.expect(resultPrefix + "\x01r\x80")
		_ = client.Close()
		if i%50 == 49 {
			_ = f.executor.Close()
			f.executor = f.acceptResumedLink()
		}
	}
	go func() { // reads the executor's commands, so that the server's output does not block
		for {
			if _, err := f.executor.in.ReadByte(); err != nil {
				return
			}
		}
	}()
	want := tableSizes{}
	got := tableSizes{requests: -1}
	for end := time.Now().Add(testTimeout); got != want && time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		got = query(f, sizesOf)
	}
	if got != want {
		t.Errorf("table sizes %+v, want all 0", got)
	}
}

// tableSizes holds the sizes of a server's tables.
type tableSizes struct {
	requests, results, calls, upstreamConns, clients, buffers, events int
	extraTimers                                                       int // above the ten that are always scheduled
}

func sizesOf(s *Server) tableSizes {
	return tableSizes{
		requests:      s.requests.Len(),
		results:       s.results.Len(),
		calls:         len(s.upstream.calls),
		upstreamConns: len(s.upstream.all) + len(s.upstream.waiting),
		clients:       s.clients.conns.Len(),
		buffers:       s.output.buffers.InUse,
		events:        len(s.decisions.pending),
		extraTimers:   max(0, s.loop.timers.Len()-10),
	}
}
