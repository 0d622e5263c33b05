package server

import (
	"io"
	"net"
	"runtime"
	"strings"
	"testing"

	"github.com/panjf2000/gnet/v2"

	"swiftcourse/internal/config"
	"swiftcourse/internal/logging"
	"swiftcourse/internal/wire/rpc"
)

// BenchmarkIdleHeap measures the heap memory of an idle connection from a heap profile, by the
// function of gnet or of the server that allocated it. Run it alone:
//
//	go test -run '^$' -bench IdleHeap -benchtime 1x -memprofilerate 1 ./internal/server
func BenchmarkIdleHeap(b *testing.B) {
	if runtime.MemProfileRate != 1 {
		b.Skip("needs -memprofilerate 1")
	}
	logging.SetOutput(io.Discard)
	const n = 4000
	listener, err := net.Listen("tcp", "127.0.0.9:0") // finds a free port for the server
	if err != nil {
		b.Fatal(err)
	}
	addr := listener.Addr().String()
	_ = listener.Close()
	s := New(&config.Startup{
		Listen:      addr,
		MaxSockets:  3 * n,
		StopTimeout: 4,
		Addresses:   config.Addresses{Executor: "127.0.0.9:1", Registry: "127.0.0.9:1"},
	}, nil)
	s.clients.limiter.SetIdleTimeout(1e9)
	done := make(chan error, 1)
	go func() { done <- s.Run() }()
	open := openCheckedConns(b, addr, n)
	for owner, bytes := range heapByOwner() {
		b.ReportMetric(bytes/n, owner+"_B/conn")
	}
	b.ReportMetric(0, "ns/op")
	for _, conn := range open {
		_ = conn.Close()
	}
	s.stop()
	if err := <-done; err != nil {
		b.Errorf("Run returned error %v, want nil", err)
	}
}

// openCheckedConns opens connections, and waits for the answer to a health check on each.
func openCheckedConns(b *testing.B, addr string, n int) (open []net.Conn) {
	b.Helper()
	for len(open) < n {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			if len(open) == 0 {
				continue // the server does not listen yet
			}
			b.Fatal(err)
		}
		_, _ = conn.Write(rpc.AppendHealthCheck(nil, 1))
		if _, err := conn.Read(make([]byte, 16)); err != nil {
			b.Fatal(err)
		}
		open = append(open, conn)
	}
	return open
}

// heapByOwner returns the bytes of heap in use that were allocated on the server's loop, by owner as
// allocationOwner names it.
func heapByOwner() map[string]float64 {
	runtime.GC()
	runtime.GC() // the profile describes the heap at the collection before the last one
	records := make([]runtime.MemProfileRecord, 20000)
	count, _ := runtime.MemProfile(records, false)
	kept := map[string]float64{}
	for _, r := range records[:count] {
		if owner := allocationOwner(r.Stack()); owner != "" {
			kept[owner] += float64(r.InUseBytes())
		}
	}
	return kept
}

// allocationOwner names the innermost function of gnet or of the server on the stack of an allocation.
// It returns "" for an allocation that was not made on the server's loop.
func allocationOwner(stack []uintptr) string {
	var owner string
	onLoop := false
	for frames := runtime.CallersFrames(stack); ; {
		f, more := frames.Next()
		name := f.Function
		onLoop = onLoop || strings.Contains(name, "gnet/v2.(*eventloop)")
		if owner == "" && strings.Contains(name, "gnet/v2") {
			owner = "gnet_" + name[strings.LastIndex(name, ".")+1:]
		}
		if owner == "" && strings.HasPrefix(name, "swiftcourse/") {
			owner = "server_" + name[strings.LastIndex(name, ".")+1:]
		}
		if !more {
			break
		}
	}
	if !onLoop {
		return ""
	}
	return owner
}

var _ gnet.EventHandler = (*Server)(nil)
