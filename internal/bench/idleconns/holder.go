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

// The protocol between a Holder and its process: one command a line, each answered by one line.
const (
	commandCheck  = "touch"
	commandCounts = "counts"
	replyReady    = "ready"
	replyChecked  = "touched"
	replyCounts   = "counts"
)

// The command line by which this program serves as a holder's process.
const (
	holdCommand    = "hold"
	honorCloseFlag = "--heeds"
)

// Holder is a process that holds idle connections to one server. They are held outside the load generator's process
// because of its descriptor limit, and so that their cost on the client's side does not disturb the load.
type Holder struct {
	command *exec.Cmd
	in      io.WriteCloser
	out     *bufio.Scanner
}

// HolderCounts are a holder's connections.
type HolderCounts struct {
	Open    int
	GoAways int // go-away messages, by which the server asks to close a connection
	Closed  int
}

// ErrHolderEnded is returned if a holder's process ends before it replies.
var ErrHolderEnded = errors.New("the process that holds connections ended")

// StartHolder starts this program once more, to hold n connections.
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
		return nil, fmt.Errorf("start a process that holds connections: %w", err)
	}
	return h, nil
}

// WaitReady waits until all connections are open and had a health check answered.
func (h *Holder) WaitReady() error {
	_, err := h.readReply(replyReady)
	return err
}

// readReply reads one line and returns what follows the given word.
func (h *Holder) readReply(word string) (string, error) {
	if !h.out.Scan() {
		return "", errors.Join(ErrHolderEnded, h.out.Err())
	}
	rest, ok := strings.CutPrefix(h.out.Text(), word)
	if !ok {
		return "", fmt.Errorf("the process that holds connections replied %q, not %q", h.out.Text(), word)
	}
	return rest, nil
}

// call sends a command and returns what follows the given word in its reply.
func (h *Holder) call(command, reply string) (string, error) {
	if _, err := io.WriteString(h.in, command+"\n"); err != nil {
		return "", fmt.Errorf("command %s of the process that holds connections: %w", command, err)
	}
	return h.readReply(reply)
}

// SendHealthChecks sends a health check on all connections in one burst.
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
		return counts, fmt.Errorf("counts %q of the process that holds connections: %w", text, err)
	}
	return counts, nil
}

// Close ends the process with all its connections.
func (h *Holder) Close() {
	_ = h.in.Close()
	_ = h.command.Wait() // the process ends with its input
}

// ServeHolder is the main function of a holder's process: it opens n connections and serves commands from in until
// that ends.
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
			return fmt.Errorf("unknown command %q", command)
		}
	}
	return nil
}
