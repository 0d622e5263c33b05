package executor

import (
	"bufio"
	"bytes"
	"net"
	"time"

	"swiftcourse/internal/wire/processor"
)

const readBufferSize = 64 << 10

// notice is a line for the server. It is kept and sent again on a new connection, unless the server
// has read it. Serials count notices from 1.
type notice struct {
	serial int64
	line   []byte
}

// serve handles a connection until it ends or the server sends an invalid command.
func (s *Server) serve(conn net.Conn) {
	in := bufio.NewReaderSize(conn, readBufferSize)
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return
		}
		command, err := processor.ParseCommand(bytes.TrimSuffix(line, []byte("\n")))
		if err != nil {
			return // the protocol requires the executor to close the connection
		}
		s.handle(conn, &command)
	}
}

// handle executes a command. From a connection other than the current one, it ignores every command
// but CommandResume.
func (s *Server) handle(conn net.Conn, command *processor.Command) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if command.Kind == processor.CommandResume {
		s.resume(conn, command.Serial)
	} else if s.conn == conn {
		s.execute(command)
	}
}

// resume makes conn the current connection and sends again all kept notices after the one with the
// serial lastRead, the last that the server has read.
func (s *Server) resume(conn net.Conn, lastRead int64) {
	if s.conn != nil && s.conn != conn {
		_ = s.conn.Close()
	}
	s.stats.Resumed++
	s.conn = conn
	s.output = nil
	s.write(processor.AppendHello(nil, s.config.ColdStart, time.Since(s.startedAt).Seconds()))
	for _, n := range s.notices {
		if n.serial > lastRead {
			s.write(n.line)
		}
	}
}

func (s *Server) execute(command *processor.Command) {
	switch command.Kind {
	case processor.CommandStart:
		s.startRun(command)
	case processor.CommandReply, processor.CommandSkipCall:
		s.resumeRun(command)
	case processor.CommandReadGauges:
		var gauges []float64
		if s.config.Gauges != nil {
			gauges = s.config.Gauges(s.busyCores, len(s.waitingRuns))
		}
		s.write(processor.AppendGauges(nil, command.Tag, gauges))
	}
}

// notify sends a notice and keeps it for connections that resume. At least the latest
// minKeptNotices notices are kept.
func (s *Server) notify(appendLine func(b []byte, serial int64) []byte) {
	s.latestSerial++
	line := appendLine(nil, s.latestSerial)
	if len(s.notices) >= 2*minKeptNotices {
		s.notices = append([]notice(nil), s.notices[minKeptNotices:]...)
	}
	s.notices = append(s.notices, notice{s.latestSerial, line})
	s.write(line)
}

// write queues a line for the current connection, if there is one. A separate goroutine writes the
// queue, because the caller holds the mutex.
func (s *Server) write(line []byte) {
	if s.conn == nil {
		return
	}
	s.output = append(s.output, line...)
	if !s.flushing {
		s.flushing = true
		go s.flush()
	}
}

// flush writes until the queue is empty. Write errors are ignored: a server that has lost its
// connection resumes on a new one, on which the unread notices are sent again.
func (s *Server) flush() {
	for {
		s.mu.Lock()
		output, conn := s.output, s.conn
		s.output = nil
		s.flushing = len(output) > 0 && conn != nil
		stop := !s.flushing
		s.mu.Unlock()
		if stop {
			return
		}
		_, _ = conn.Write(output)
	}
}
