package idleconns

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"

	"swiftcourse/internal/fake/balancer"
)

// The protocol between a Holder and its process: one command per line, each answered by one line.
// The process sends replyReady unasked, once all connections are open.
const (
	commandCheck  = "touch"
	commandCounts = "counts"
	replyReady    = "ready"
	replyChecked  = "touched"
	replyCounts   = "counts"
)

// The command and flag with which this program is started as a holder's process.
const (
	holdCommand    = "hold"
	honorCloseFlag = "--heeds"
)

// Holder controls a process that holds idle connections to one server. A separate process has its
// own descriptor limit, and the client-side cost of the connections does not disturb the load
// generator.
type Holder struct {
	command *exec.Cmd
	in      io.WriteCloser
	out     *bufio.Scanner
}

// HolderCounts is the state of a holder's connections.
type HolderCounts struct {
	Open    int
	GoAways int // go-away messages received, by which the server asks to close a connection
	Closed  int // closed by the server or at its request
}

// ErrHolderEnded is returned if a holder's process ends before it replies.
var ErrHolderEnded = errors.New("the process that holds idle connections ended without a reply")

// StartHolder starts this program as a separate process that holds n connections.
func StartHolder(ctx context.Context, address string, n int, honorClose bool) (*Holder, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	arguments := []string{holdCommand, address, strconv.Itoa(n)}
	if honorClose {
		arguments = append(arguments, honorCloseFlag)
	}
	h := &Holder{command: exec.CommandContext(ctx, program, arguments...)}
	h.command.Stderr = os.Stderr
	if h.in, err = h.command.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := h.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	h.out = bufio.NewScanner(out)
	if err := h.command.Start(); err != nil {
		return nil, fmt.Errorf("start the process that holds %d idle connections: %w", n, err)
	}
	return h, nil
}

// WaitReady waits until all connections are open and have received an answer to a health check.
func (h *Holder) WaitReady() error {
	_, err := h.readReply(replyReady)
	return err
}

// readReply reads one line, which must start with the given word, and returns the rest of it.
func (h *Holder) readReply(word string) (string, error) {
	if !h.out.Scan() {
		return "", errors.Join(ErrHolderEnded, h.out.Err())
	}
	rest, ok := strings.CutPrefix(h.out.Text(), word)
	if !ok {
		return "", fmt.Errorf("the process that holds idle connections replied %q, want a reply that starts with %q",
			h.out.Text(), word)
	}
	return rest, nil
}

// call sends a command and returns the rest of its reply after the given word.
func (h *Holder) call(command, reply string) (string, error) {
	if _, err := io.WriteString(h.in, command+"\n"); err != nil {
		return "", fmt.Errorf("send the command %s to the process that holds idle connections: %w", command, err)
	}
	return h.readReply(reply)
}

// SendHealthChecks sends a health check on every connection in one burst.
func (h *Holder) SendHealthChecks() error {
	_, err := h.call(commandCheck, replyChecked)
	return err
}

// Counts returns the state of the connections.
func (h *Holder) Counts() (HolderCounts, error) {
	var counts HolderCounts
	text, err := h.call(commandCounts, replyCounts)
	if err != nil {
		return counts, err
	}
	if _, err := fmt.Sscan(text, &counts.Open, &counts.GoAways, &counts.Closed); err != nil {
		return counts, fmt.Errorf("parse the counts %q of the process that holds idle connections: %w", text, err)
	}
	return counts, nil
}

// Close ends the process, which closes its connections.
func (h *Holder) Close() {
	_ = h.in.Close()
	_ = h.command.Wait() // the process exits at the end of its input
}

// ServeHolder is the main function of a holder's process: it opens n connections and executes the
// commands that it reads from in, until the end of the input.
func ServeHolder(in io.Reader, out io.Writer, address string, n int, honorClose bool) error {
	idle, err := balancer.OpenIdle(address, n, honorClose)
	if err != nil {
		return err
	}
	defer idle.Close()
	fmt.Fprintln(out, replyReady)
	commands := bufio.NewScanner(in)
	for commands.Scan() {
		switch command := commands.Text(); command {
		case commandCheck:
			idle.SendHealthChecks()
			fmt.Fprintln(out, replyChecked)
		case commandCounts:
			fmt.Fprintln(out, replyCounts, idle.Len(), idle.GoAways.Load(), idle.Closed.Load())
		default:
			return fmt.Errorf("unknown command %q: must be %s or %s", command, commandCheck, commandCounts)
		}
	}
	return nil
}
