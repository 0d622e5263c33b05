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

// BenchmarkIdleHeap tells from a heap profile what a connection that was known once and says
// nothing keeps: what gnet keeps of it, what the server keeps, and of the former what each place
// allocates. Run it alone:
//
//	go test -run '^$' -bench IdleHeap -benchtime 1x -memprofilerate 1 ./internal/server
func BenchmarkIdleHeap(b *testing.B) {
	if runtime.MemProfileRate != 1 {
		b.Skip("it needs -memprofilerate 1")
	}
	logging.SetOutput(io.Discard)
	const n = 4000
	front, err := net.Listen("tcp", "127.0.0.9:0")
	if err != nil {
		b.Fatal(err)
	}
	addr := front.Addr().String()
	_ = front.Close()
	s := New(&config.Startup{
		Listen:      addr,
		MaxSockets:  3 * n,
		StopTimeout: 4,
		Addresses:   config.Addresses{Executor: "127.0.0.9:1", Registry: "127.0.0.9:1"},
	}, nil)
	s.clients.limiter.SetIdleTimeout(1e9)
	done := make(chan error, 1)
	go func() { done <- s.Run() }()
	open := holdChecked(b, addr, n)
	for whose, bytes := range heapByOwner() {
		b.ReportMetric(bytes/n, whose+"_B/conn")
	}
	b.ReportMetric(0, "ns/op")
	for _, conn := range open {
		_ = conn.Close()
	}
	s.stop()
	if err := <-done; err != nil {
		b.Error(err)
	}
}

// holdChecked opens connections, each with one health check that is answered.
func holdChecked(b *testing.B, addr string, n int) (open []net.Conn) {
	b.Helper()
	for len(open) < n {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			if len(open) == 0 {
				continue // it does not listen yet
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

// heapByOwner is the heap in use, in bytes, that was allocated on the server's loop, by whose it
// is.
func heapByOwner() map[string]float64 {
	runtime.GC()
	runtime.GC() // the profile is that of the collection before the last
	records := make([]runtime.MemProfileRecord, 20000)
	count, _ := runtime.MemProfile(records, false)
	kept := map[string]float64{}
	for _, r := range records[:count] {
		if whose := allocationOwner(r.Stack()); whose != "" {
			kept[whose] += float64(r.InUseBytes())
		}
	}
	return kept
}

// allocationOwner tells whose an allocation on the server's loop is: that of the innermost function
// that is gnet's or the server's.
func allocationOwner(stack []uintptr) string {
	var whose string
	onLoop := false
	for frames := runtime.CallersFrames(stack); ; {
		f, more := frames.Next()
		name := f.Function
		onLoop = onLoop || strings.Contains(name, "gnet/v2.(*eventloop)")
		if whose == "" && strings.Contains(name, "gnet/v2") {
			whose = "gnet_" + name[strings.LastIndex(name, ".")+1:]
		}
		if whose == "" && strings.HasPrefix(name, "swiftcourse/") {
			whose = "server_" + name[strings.LastIndex(name, ".")+1:]
		}
		if !more {
			break
		}
	}
	if !onLoop {
		return ""
	}
	return whose
}

var _ gnet.EventHandler = (*Server)(nil)
