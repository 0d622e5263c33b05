package kit

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Answer is what came back for a request. Kind is served, Busy, the name of another error, or lost
// where the connection ended without an answer.
type Answer struct {
	Kind   string
	Result []byte
	At     time.Time
}

// Request is one try.
type Request struct {
	ID, Class, Tenant, Key string
	Body                   []byte
	Timeout                time.Duration
	Memory                 float64

	Sent   time.Time
	Answer chan Answer // gets every answer
}

// Balancer is one connection of a balancer to a server.
type Balancer struct {
	conn   net.Conn
	mu     sync.Mutex
	open   map[uint64]*Request
	last   uint64
	GoAway chan struct{} // closed once the server asked for no new request
	Ended  chan struct{} // closed once the connection has ended
	once   sync.Once
}

// Dial opens a connection to a server.
func Dial(address string) (*Balancer, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	b := &Balancer{
		conn: conn, open: map[uint64]*Request{}, GoAway: make(chan struct{}), Ended: make(chan struct{}),
	}
	go b.read()
	return b, nil
}

// Usable tells whether a new request may be sent.
func (b *Balancer) Usable() bool {
	select {
	case <-b.GoAway:
		return false
	case <-b.Ended:
		return false
	default:
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(b.open) < 32
	}
}

// Send sends a request. It returns false if it could not be written.
func (b *Balancer) Send(r *Request) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.last++
	number := b.last
	r.Sent = time.Now()
	fields := map[string]string{
		"call": r.ID, "recv": fmt.Sprint(r.Sent.UnixMilli()), "src": "1",
		"ttl": fmt.Sprint(r.Timeout.Milliseconds()), "heap": fmt.Sprintf("%.1f", r.Memory), "crit": "0.5000",
	}
	if r.Tenant != "" {
		fields["org"] = r.Tenant
	}
	if r.Key != "" {
		fields["dedupe"] = r.Key
	}
	message := []byte{0x94, 0x00}
	message = append(message, 0xce)
	message = binary.BigEndian.AppendUint32(message, uint32(number))
	message = appendText(message, r.Class)
	message = append(message, 0x92, 0x80|byte(len(fields)))
	for name, value := range fields {
		message = appendText(appendText(message, name), value)
	}
	message = append(message, 0xc5)
	message = binary.BigEndian.AppendUint16(message, uint16(len(r.Body)))
	message = append(message, r.Body...)
	b.open[number] = r
	if _, err := b.conn.Write(message); err != nil {
		delete(b.open, number)
		return false
	}
	return true
}

// Forget tells the server that the request is no longer waited for. It returns false if the request
// has its answer already.
func (b *Balancer) Forget(r *Request) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for number, open := range b.open {
		if open == r {
			delete(b.open, number)
			message := append(appendText([]byte{0x93, 0x02}, "forget"), 0x91, 0xce)
			_, err := b.conn.Write(binary.BigEndian.AppendUint32(message, uint32(number)))
			return err == nil
		}
	}
	return false
}

func appendText(b []byte, text string) []byte {
	b = append(b, 0xd9, byte(len(text)))
	return append(b, text...)
}

// Close closes the connection.
func (b *Balancer) Close() { _ = b.conn.Close() }

// Open returns the number of requests without an answer.
func (b *Balancer) Open() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.open)
}

func (b *Balancer) read() {
	in := bufio.NewReader(b.conn)
	for {
		message, err := readValue(in)
		if err != nil {
			break
		}
		b.handle(message)
	}
	_ = b.conn.Close()
	close(b.Ended)
	b.mu.Lock()
	defer b.mu.Unlock()
	for number, r := range b.open {
		delete(b.open, number)
		r.Answer <- Answer{Kind: "lost", At: time.Now()}
	}
}

func (b *Balancer) handle(message any) {
	list, _ := message.([]any)
	if len(list) == 3 && list[0] == uint64(2) && string(asBytes(list[1])) == "goaway" {
		b.once.Do(func() { close(b.GoAway) })
		return
	}
	if len(list) != 4 || list[0] != uint64(1) {
		return
	}
	number, _ := list[1].(uint64)
	answer := Answer{Kind: "served", At: time.Now()}
	if failure, isError := list[2].([]any); isError && len(failure) > 0 {
		answer.Kind = string(asBytes(failure[0]))
	} else if result, isResult := list[3].([]any); isResult && len(result) > 0 {
		answer.Result = asBytes(result[0])
	} else {
		answer.Kind = "unreadable"
	}
	b.mu.Lock()
	r := b.open[number]
	delete(b.open, number)
	b.mu.Unlock()
	if r != nil {
		r.Answer <- answer
	}
}

func asBytes(value any) []byte {
	b, _ := value.([]byte)
	return b
}

// readValue reads one MessagePack value: uint64, int64, []byte, []any, map as []any, bool or nil.
func readValue(in *bufio.Reader) (any, error) {
	first, err := in.ReadByte()
	if err != nil {
		return nil, err
	}
	number := func(width int) (uint64, error) {
		var b [8]byte
		_, err := io.ReadFull(in, b[8-width:])
		return binary.BigEndian.Uint64(b[:]), err
	}
	bytes := func(length uint64, err error) (any, error) {
		if err != nil || length > 1<<20 {
			return nil, io.ErrUnexpectedEOF
		}
		b := make([]byte, length)
		_, err = io.ReadFull(in, b)
		return b, err
	}
	list := func(length uint64, err error) (any, error) {
		if err != nil || length > 1<<20 {
			return nil, io.ErrUnexpectedEOF
		}
		all := make([]any, 0, length)
		for range length {
			value, err := readValue(in)
			if err != nil {
				return nil, err
			}
			all = append(all, value)
		}
		return all, nil
	}
	switch {
	case first < 0x80:
		return uint64(first), nil
	case first < 0x90:
		return list(2*uint64(first&0x0f), nil)
	case first < 0xa0:
		return list(uint64(first&0x0f), nil)
	case first < 0xc0:
		return bytes(uint64(first&0x1f), nil)
	case first >= 0xe0:
		return int64(int8(first)), nil
	}
	switch first {
	case 0xc0:
		return nil, nil
	case 0xc2, 0xc3:
		return first == 0xc3, nil
	case 0xc4, 0xc5, 0xc6:
		return bytes(number(1 << (first - 0xc4)))
	case 0xcc, 0xcd, 0xce, 0xcf:
		return number(1 << (first - 0xcc))
	case 0xd0, 0xd1, 0xd2, 0xd3:
		n, err := number(1 << (first - 0xd0))
		return int64(n), err
	case 0xca, 0xcb:
		return number(4 << (first - 0xca))
	case 0xd9, 0xda, 0xdb:
		return bytes(number(1 << (first - 0xd9)))
	case 0xdc, 0xdd:
		return list(number(2 << (first - 0xdc)))
	case 0xde, 0xdf:
		n, err := number(2 << (first - 0xde))
		return list(2*n, err)
	}
	return nil, io.ErrUnexpectedEOF
}
