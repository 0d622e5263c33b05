package forwarder

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"time"

	"swiftcourse/internal/wire/rpc"
)

const (
	// maxLine messages wait to be written to a worker that does not read: some hundred tasks.
	maxLine = 256
	// dialFor bounds one dial, redial is the wait between two, doubled up to maxRedial.
	dialFor   = time.Second
	redial    = 20 * time.Millisecond
	maxRedial = 500 * time.Millisecond
	// maxRead bounds what of one message may wait to be whole.
	maxRead = 64 << 10
)

// link is the way to one worker: connections that follow one another. Its fields after the first group are the owner's alone; the goroutines of a
// connection know that connection only.
type link struct {
	Worker
	d *Dispatcher

	conn    *conn
	parting bool   // its worker wants no new task on this connection
	number  uint64 // of the last message, over all connections
	tries   map[uint64]*try
}

// conn is one connection.
type conn struct {
	raw  net.Conn
	out  chan []byte
	done chan struct{}
}

func newLink(d *Dispatcher, w Worker) *link {
	return &link{Worker: w, d: d, tries: map[uint64]*try{}}
}

// keep dials for ever, and reads each connection to its end.
func (l *link) keep() {
	pause := redial
	for {
		raw, err := net.DialTimeout("tcp", l.Addr, dialFor)
		if err != nil {
			select {
			case <-l.d.quit:
				return
			case <-time.After(pause):
			}
			pause = min(2*pause, maxRedial)
			continue
		}
		c := &conn{raw: raw, out: make(chan []byte, maxLine), done: make(chan struct{})}
		go c.write()
		l.tell(c, true)
		spoke, err := l.read(c)
		if spoke { // it had something to say: the next dial is at once
			pause = redial
		}
		if err != nil {
			slog.Info("bad_input", "worker", l.Name, "addr", l.Addr, "err", err)
		}
		_ = raw.Close()
		close(c.done)
		l.tell(c, false)
		select {
		case <-l.d.quit:
			return
		case <-time.After(pause):
		}
	}
}

// tell has the owner hear of a connection that began or ended: the link itself changes there.
func (l *link) tell(c *conn, up bool) {
	change := func() {
		l.conn, l.parting = nil, false
		if up {
			l.conn = c
		}
		l.d.changed(l.d.Now(), l, up)
	}
	select {
	case l.d.inbox <- event{ask: change}:
	case <-l.d.quit:
	}
}

// parts has no new task go on the connection, whose worker asked for that. It is closed once all that is out there is answered, and another one opened.
func (l *link) parts() {
	if l.conn != nil && !l.parting {
		l.parting = true
		l.d.router.SetConnected(l.d.Now(), l.Name, false)
		l.closeIdle()
	}
}

func (l *link) closeIdle() {
	if l.parting && l.conn != nil && len(l.tries) == 0 {
		_ = l.conn.raw.Close() // its reader tells
	}
}

func (c *conn) write() {
	for {
		select {
		case <-c.done:
			return
		case b := <-c.out:
			for range len(c.out) { // what is there already goes with it
				b = append(b, <-c.out...)
			}
			if _, err := c.raw.Write(b); err != nil {
				_ = c.raw.Close()
				return
			}
		}
	}
}

// errLong bounds what waits to be whole, whatever the codec lets pass. No input that gets here is known: it guards, and no test reaches it.
var errLong = errors.New("a message without end")

// read hands messages to the owner until the connection ends, and tells whether there was any. An error is the worker's: bytes that are no message.
func (l *link) read(c *conn) (spoke bool, err error) {
	var b []byte
	piece := make([]byte, 16<<10)
	for {
		n, err := c.raw.Read(piece)
		if err != nil {
			return spoke, nil
		}
		b = append(b, piece[:n]...)
		at := 0
		for at < len(b) {
			a, size, err := rpc.NextAnswer(b[at:])
			if err != nil {
				return spoke, fmt.Errorf("after %d bytes that are read: %w", at, err)
			}
			if size == 0 && len(b)-at > maxRead {
				return spoke, errLong
			}
			if size == 0 {
				break
			}
			at += size
			a.Result = bytes.Clone(a.Result)
			spoke = true
			select {
			case l.d.inbox <- event{link: l, answer: &a}:
			case <-l.d.quit:
				return spoke, nil
			}
		}
		b = append(b[:0], b[at:]...)
	}
}

// send puts a task on the line, and tells its number there, 0 where there is no room: then nothing of it left.
func (l *link) send(t *try, m *rpc.Message) uint64 {
	if l.conn == nil || l.parting {
		return 0
	}
	l.number++
	m.Number = l.number
	select {
	case l.conn.out <- rpc.PutTask(nil, m):
		l.tries[l.number] = t
		return l.number
	default:
		return 0
	}
}

// gone tells the worker that nobody waits for a message any more; where there is no room it finds out by its due moment.
func (l *link) gone(number uint64) {
	if l.conn != nil {
		select {
		case l.conn.out <- rpc.PutGone(nil, number):
		default:
		}
	}
}
