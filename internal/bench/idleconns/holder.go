package idleconns

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"

	"swiftcourse/internal/fake/balancer"
)

// A Holder is a process that holds idle connections to one server, as one process may not hold the descriptors for all,
// and so that what they cost on this side stays away from the load.
type Holder struct {
	process *exec.Cmd
	in      io.WriteCloser
	out     *bufio.Scanner
}

// StartHolder starts this program once more, to hold n connections.
func StartHolder(ctx context.Context, addr string, n int, heeds bool) (*Holder, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	args := []string{"hold", addr, fmt.Sprint(n)}
	if heeds {
		args = append(args, "--heeds")
	}
	h := &Holder{process: exec.CommandContext(ctx, self, args...)}
	h.process.Stderr = os.Stderr
	if h.in, err = h.process.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := h.process.StdoutPipe()
	if err != nil {
		return nil, err
	}
	h.out = bufio.NewScanner(out)
	return h, h.process.Start()
}

// WaitReady waits until all its connections stand and were known once.
func (h *Holder) WaitReady() error {
	_, err := h.read("ready")
	return err
}

func (h *Holder) read(word string) (string, error) {
	if !h.out.Scan() {
		return "", errors.Join(errors.New("the process that holds connections ended"), h.out.Err())
	}
	rest, ok := strings.CutPrefix(h.out.Text(), word)
	if !ok {
		return "", fmt.Errorf("the process that holds connections said %q", h.out.Text())
	}
	return rest, nil
}

// SendHealthChecks has all of them heard in one burst.
func (h *Holder) SendHealthChecks() error {
	if _, err := io.WriteString(h.in, "touch\n"); err != nil {
		return err
	}
	_, err := h.read("touched")
	return err
}

// Counts tells how many connections stand, were asked to close, and are closed.
func (h *Holder) Counts() (open, asked, closed int, err error) {
	if _, err = io.WriteString(h.in, "counts\n"); err != nil {
		return
	}
	text, err := h.read("counts")
	if err == nil {
		_, err = fmt.Sscan(text, &open, &asked, &closed)
	}
	return
}

// Close ends it, with all its connections.
func (h *Holder) Close() {
	_ = h.in.Close()
	_ = h.process.Wait() // ends as its input does
}

// ServeHolder is the life of such a process: it takes words from in until that ends.
func ServeHolder(in io.Reader, out io.Writer, addr string, n int, heeds bool) error {
	crowd, err := balancer.OpenIdle(addr, n, heeds)
	if err != nil {
		return err
	}
	defer crowd.Close()
	fmt.Fprintln(out, "ready")
	for words := bufio.NewScanner(in); words.Scan(); {
		switch words.Text() {
		case "touch":
			crowd.SendHealthChecks()
			fmt.Fprintln(out, "touched")
		case "counts":
			fmt.Fprintln(out, "counts", crowd.Len(), crowd.CloseRequests.Load(), crowd.Closed.Load())
		default:
			return fmt.Errorf("unknown word %q", words.Text())
		}
	}
	return nil
}
