package kit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// Catalogue is a stand-in of the upstream proxy. It answers each call after Delay with the reply of
// its body; a call that was given up gets none.
type Catalogue struct {
	Address string
	Delay   func() time.Duration
	Reply   func(id string, body []byte) []byte
}

// StartCatalogue starts a catalogue.
func StartCatalogue(delay func() time.Duration, reply func(id string, body []byte) []byte) *Catalogue {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		Cannot("%v", err)
	}
	c := &Catalogue{Address: listener.Addr().String(), Delay: delay, Reply: reply}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go c.serve(conn)
		}
	}()
	return c
}

func (c *Catalogue) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	var mu sync.Mutex
	open := map[string]int{} // the number of the call that is open for a request
	count := 0
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		if len(words) == 2 && words[0] == "QUIT" {
			mu.Lock()
			delete(open, words[1])
			mu.Unlock()
			continue
		}
		if len(words) != 4 || words[0] != "FETCH" {
			return
		}
		var length int
		fmt.Sscan(words[3], &length)
		body := make([]byte, length+2)
		if _, err := io.ReadFull(in, body); err != nil {
			return
		}
		id, body := words[1], body[:length]
		mu.Lock()
		count++
		number := count
		open[id] = number
		mu.Unlock()
		time.AfterFunc(c.Delay(), func() {
			mu.Lock()
			defer mu.Unlock()
			if open[id] != number {
				return
			}
			delete(open, id)
			reply := c.Reply(id, body)
			_, _ = conn.Write(fmt.Appendf(nil, "%s DATA %d\r\n%s\r\n", id, len(reply), reply))
		})
	}
}
