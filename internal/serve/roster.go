package serve

import (
	"errors"
	"log/slog"

	"github.com/panjf2000/gnet/v2"

	"swiftcourse/internal/wire/roster"
)

// rosterLink reports to the roster, one report at a time.
type rosterLink struct {
	link
	server  *Server
	waits   bool    // for the answer to a report
	told    bool    // what the last report said
	toldAt  float64 // when it was sent
	ticking bool
	vain    int // links in a row on which no report was answered
}

// reportEvery is in seconds; an entry lapses after three. A report that has no answer when the next is due may
// be lost, or counted all the same: the next goes over a new link, at once where health changed.
const reportEvery = 1

var errUnanswered = errors.New("the last report was not answered")

func (r *rosterLink) opened(c gnet.Conn, to string) error {
	r.stands(c, to)
	r.waits = false
	slog.Info("link_open", "link", "roster")
	r.tell()
	return nil
}

func (r *rosterLink) closed(err error) {
	slog.Info("link_lost", "link", "roster", "err", &attemptError{sent, err})
	r.shut(&r.server.pool)
	if r.waits {
		r.toldAt = 0 // that report may be lost: it is sent again on the next link
	}
	r.server.dial(toRoster, r, r.vain)
	r.vain++
}

// leave has the reports go over a new link.
func (r *rosterLink) leave(err error) {
	_ = r.conn.Close()
	r.vain = 0
	r.closed(err)
}

// tell sends a report where one is due: when health changed, and every so often.
func (r *rosterLink) tell() {
	s := r.server
	now := s.now()
	if s.module == nil {
		return // listed only once the processor is up
	}
	if !r.ticking {
		r.ticking = true
		r.tick()
	}
	due := now > r.toldAt+reportEvery-0.05
	switch {
	case r.conn == nil || r.told == s.isWell() && !due:
		return
	case r.waits: // an answer may never come, and what was told of health may not wait for it
		r.leave(errUnanswered)
		return
	}
	r.waits, r.told, r.toldAt = true, s.isWell(), now
	s.scratch = roster.PutReport(s.scratch[:0], r.to, s.start.Name, r.told)
	s.write(&r.line, s.scratch)
}

func (r *rosterLink) tick() {
	s := r.server
	s.timers.Schedule(s.now()+reportEvery, func() {
		r.tell()
		r.tick()
	})
}

func (r *rosterLink) take(b []byte) (n int, err error) {
	for n < len(b) {
		a, size, err := roster.Next(b[n:])
		if err != nil || size == 0 {
			return n, err
		}
		n += size
		r.waits, r.vain = false, 0
		if a.Status != 204 {
			slog.Info("roster_says", "status", a.Status)
		}
		if a.Close {
			_ = r.conn.Close()
			return n, nil
		}
		r.tell()
	}
	return n, nil
}
