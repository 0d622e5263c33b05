package fleet

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"
)

// streamTestTimeout is far longer than any step of the tests takes.
const streamTestTimeout = 20 * time.Second

// isClosed reports whether the other end of a net.Pipe was closed.
func isClosed(peer net.Conn) bool {
	_ = peer.SetReadDeadline(time.Now())
	_, err := peer.Read(make([]byte, 1))
	return errors.Is(err, io.EOF)
}

func TestConnLimiter_ClosesOldestThatIsNotInUse(t *testing.T) {
	limiter := &connLimiter{maxConns: 2, maxBytes: 10}
	var conns []*limitedConn
	var peers []net.Conn
	admit := func() {
		conn, peer := net.Pipe()
		conns, peers = append(conns, limiter.admit(conn)), append(peers, peer)
	}
	admit()
	conns[0].setInUse(true)
	admit()
	if !conns[1].reserve(10) || conns[0].reserve(1) {
		t.Error("reserved 10 bytes of 10 for one connection, then more for another; want only the first")
	}
	admit()
	if isClosed(peers[0]) || !isClosed(peers[1]) || isClosed(peers[2]) {
		t.Errorf("closed %t, %t, %t; want only the second, the oldest that is not in use",
			isClosed(peers[0]), isClosed(peers[1]), isClosed(peers[2]))
	}
	if conns[1].reserve(1) || !conns[0].reserve(10) {
		t.Error("a closed connection reserved bytes, or its bytes were not given back")
	}
	_ = conns[0].Close()
	_ = conns[2].Close()
	if len(limiter.open) != 0 || limiter.bytes != 0 {
		t.Errorf("%d connections, %d bytes after all were closed; want 0, 0", len(limiter.open), limiter.bytes)
	}
}

// Guards against peers that announce long messages and make the process allocate memory for them.
func TestCheckStream(t *testing.T) {
	const limit = 100_000
	for _, c := range []struct {
		kind byte
		head streamHead
		want error
	}{
		{streamUser, streamHead{UserMsgLen: limit}, nil},
		{streamUser, streamHead{UserMsgLen: limit + 1}, errStreamLength},
		{streamUser, streamHead{UserMsgLen: -1}, errStreamLength},
		{streamPushPull, streamHead{Nodes: 100, UserStateLen: 1000}, nil},
		{streamPushPull, streamHead{Nodes: limit / 10}, errStreamLength},
		{streamPushPull, streamHead{Nodes: 1 << 58, UserStateLen: 1}, errStreamLength},
		{9, streamHead{}, errStreamType}, // compressed
	} {
		limiter := &connLimiter{maxConns: 1, maxBytes: limit}
		conn, peer := net.Pipe()
		sent := []byte{c.kind}
		var encoded []byte
		if err := codec.NewEncoderBytes(&encoded, &codec.MsgpackHandle{}).Encode(&c.head); err != nil {
			t.Fatal(err)
		}
		sent = append(append(sent, encoded...), "rest"...)
		go func() { _, _ = peer.Write(sent) }() // fails if the stream is closed
		checked, err := checkStream(limiter.admit(conn), streamTestTimeout)
		if !errors.Is(err, c.want) {
			t.Errorf("type %d, %+v: error %v, want %v", c.kind, c.head, err, c.want)
		}
		if err == nil {
			got := make([]byte, len(sent))
			if _, err := io.ReadFull(checked, got); err != nil || string(got) != string(sent) {
				t.Errorf("type %d, %+v: read %q, error %v; want %q", c.kind, c.head, got, err, sent)
			}
		}
		_ = conn.Close()
	}
}

// Guards against clients that connect by hundreds and stop in the middle of a request, or send requests at
// full speed: an operator must still be answered.
func TestServeControl_AnswersBesideBadClients(t *testing.T) {
	node := startNode(t, applyNoop)
	addr := freeAddr(t)
	if err := node.ServeControl(t.Context(), addr); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the node answers", func() bool {
		_, err := FetchStatus(addr, "")
		return err == nil
	})
	const clients = 200
	for name, input := range map[string]string{
		"half a head": "GET /state HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("abc:\r\n", 500),
		"half a body": "POST /command HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n" +
			strings.Repeat("x", 90_000),
		"a flood":           strings.Repeat("GET /state HTTP/1.1\r\nHost: x\r\n\r\n", 2000),
		"a head of 100 KiB": "GET /state HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("abc:\r\n", 17_000) + "\r\n",
	} {
		for range clients {
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = conn.Close() })
			go func() { _, _ = io.WriteString(conn, input) }() // fails if the server closes the connection
		}
		client := http.Client{Timeout: streamTestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
		response, err := client.Get(fmt.Sprintf("http://%s%s", addr, statusPath))
		if err != nil {
			t.Errorf("beside clients with %s: %v", name, err)
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			t.Errorf("beside clients with %s: status %s, want 200", name, response.Status)
		}
	}
}
