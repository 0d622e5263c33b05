package kit2

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"time"
)

// Answer is what a server sent, or what became of the connection.
type Answer struct {
	Kind string // served, Busy, another error's name, closed (the connection ended without an answer), none
	Body string
	At   time.Time
}

// Conn is a balancer's connection.
type Conn struct {
	conn    net.Conn
	mu      sync.Mutex
	last    uint64
	waiting map[uint64]chan Answer
	goaway  bool
	closed  chan struct{}
}

// Dial opens a balancer's connection to a server.
func Dial(addr string) (*Conn, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	c := &Conn{conn: conn, waiting: map[uint64]chan Answer{}, closed: make(chan struct{})}
	go c.read()
	return c, nil
}

// Call is one try on a connection.
type Call struct {
	conn   *Conn
	Number uint64
	answer chan Answer
}

// Send writes a request as a whole. The fields recv and src are added.
func (c *Conn) Send(class string, fields map[string]string, body string) (*Call, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last++
	call := &Call{conn: c, Number: c.last, answer: make(chan Answer, 2)}
	c.waiting[c.last] = call.answer
	fields["recv"] = strconv.FormatInt(time.Now().UnixMilli(), 10)
	fields["src"] = "1"
	_, err := c.conn.Write(appendRequest(nil, c.last, class, fields, body))
	return call, err
}

// SendMany writes many requests in one write, and waits for no answer. The fields recv and src are added.
func (c *Conn) SendMany(count int, class string, fields func(i int) map[string]string, body string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	var b []byte
	for i := range count {
		c.last++
		f := fields(i)
		f["recv"] = strconv.FormatInt(time.Now().UnixMilli(), 10)
		f["src"] = "1"
		b = appendRequest(b, c.last, class, f, body)
	}
	_, err := c.conn.Write(b)
	return err
}

func appendRequest(b []byte, number uint64, class string, fields map[string]string, body string) []byte {
	b = appendUint(append(b, 0x94, 0), number)
	b = appendStr(b, class)
	b = append(b, 0x92, 0x80|byte(len(fields)))
	for k, v := range fields {
		b = appendStr(appendStr(b, k), v)
	}
	b = append(b, 0xc5, byte(len(body)>>8), byte(len(body)))
	return append(b, body...)
}

// Wait waits for the answer. It returns the kind none if there is none in time.
func (c *Call) Wait(timeout time.Duration) Answer {
	select {
	case a := <-c.answer:
		return a
	case <-time.After(timeout):
		return Answer{Kind: "none", At: time.Now()}
	}
}

// Forget tells the server that nobody waits any more.
func (c *Call) Forget() {
	b := appendStr([]byte{0x93, 2}, "forget")
	b = appendUint(append(b, 0x91), c.Number)
	c.conn.mu.Lock()
	defer c.conn.mu.Unlock()
	_, _ = c.conn.conn.Write(b)
}

// Healthy makes a health check on a connection of its own.
func Healthy(addr string) bool {
	c, err := Dial(addr)
	if err != nil {
		return false
	}
	defer c.Close()
	c.mu.Lock()
	c.last++
	answer := make(chan Answer, 2)
	c.waiting[c.last] = answer
	b := appendStr(appendUint([]byte{0x94, 0}, c.last), "isWell")
	_, err = c.conn.Write(append(b, 0x91, 0x80))
	c.mu.Unlock()
	if err != nil {
		return false
	}
	select {
	case a := <-answer:
		return a.Kind == "true"
	case <-time.After(time.Second):
		return false
	}
}

// Close closes the connection.
func (c *Conn) Close() { _ = c.conn.Close() }

// Usable reports whether new requests may be sent on the connection.
func (c *Conn) Usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.closed:
		return false
	default:
		return !c.goaway
	}
}

func (c *Conn) read() {
	in := bufio.NewReader(c.conn)
	for {
		v, err := readValue(in)
		if err != nil {
			break
		}
		c.handle(v)
	}
	c.mu.Lock()
	close(c.closed)
	for number, waiting := range c.waiting {
		delete(c.waiting, number)
		waiting <- Answer{Kind: "closed", At: time.Now()}
	}
	c.mu.Unlock()
	_ = c.conn.Close()
}

func (c *Conn) handle(v any) {
	list, _ := v.([]any)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(list) == 3 && list[1] == "goaway" {
		c.goaway = true
		if len(c.waiting) == 0 {
			_ = c.conn.Close()
		}
		return
	}
	if len(list) != 4 {
		return
	}
	number, _ := list[1].(uint64)
	waiting := c.waiting[number]
	if waiting == nil {
		return
	}
	delete(c.waiting, number)
	a := Answer{At: time.Now(), Kind: "unreadable"}
	switch {
	case list[2] != nil:
		if e, ok := list[2].([]any); ok && len(e) > 0 {
			a.Kind, _ = e[0].(string)
		}
	default:
		if r, ok := list[3].([]any); ok && len(r) > 0 {
			switch body := r[0].(type) {
			case string:
				a.Kind, a.Body = "served", body
			case bool:
				a.Kind = strconv.FormatBool(body)
			}
		}
	}
	waiting <- a
	if c.goaway && len(c.waiting) == 0 {
		_ = c.conn.Close()
	}
}

func appendStr(b []byte, s string) []byte {
	if len(s) < 32 {
		return append(append(b, 0xa0|byte(len(s))), s...)
	}
	if len(s) < 256 {
		return append(append(b, 0xd9, byte(len(s))), s...)
	}
	return append(append(b, 0xda, byte(len(s)>>8), byte(len(s))), s...)
}

func appendUint(b []byte, n uint64) []byte {
	if n < 128 {
		return append(b, byte(n))
	}
	return binary.BigEndian.AppendUint32(append(b, 0xce), uint32(n))
}

var errFormat = errors.New("unexpected MessagePack format")

// readValue reads one MessagePack value: integers as uint64, strings and binaries as string.
func readValue(in *bufio.Reader) (any, error) {
	f, err := in.ReadByte()
	if err != nil {
		return nil, err
	}
	num := func(width int) (uint64, error) {
		var wide [8]byte
		_, err := io.ReadFull(in, wide[8-width:])
		return binary.BigEndian.Uint64(wide[:]), err
	}
	text := func(n uint64, err error) (any, error) {
		if err != nil {
			return nil, err
		}
		b := make([]byte, n)
		_, err = io.ReadFull(in, b)
		return string(b), err
	}
	list := func(n int) (any, error) {
		items := make([]any, 0, n)
		for range n {
			v, err := readValue(in)
			if err != nil {
				return nil, err
			}
			items = append(items, v)
		}
		return items, nil
	}
	switch {
	case f < 0x80:
		return uint64(f), nil
	case f < 0x90:
		return list(2 * int(f&0x0f))
	case f < 0xa0:
		return list(int(f & 0x0f))
	case f < 0xc0:
		return text(uint64(f&0x1f), nil)
	}
	switch f {
	case 0xc0:
		return nil, nil
	case 0xc2, 0xc3:
		return f == 0xc3, nil
	case 0xc4, 0xd9:
		return text(num(1))
	case 0xc5, 0xda:
		return text(num(2))
	case 0xc6, 0xdb:
		return text(num(4))
	case 0xcc, 0xcd, 0xce, 0xcf:
		return num(1 << (f - 0xcc))
	}
	return nil, fmt.Errorf("%w %#x", errFormat, f)
}
