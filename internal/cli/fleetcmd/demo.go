package fleetcmd

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// The programs in the folder of this one: the test bench, and the server that it starts.
const (
	benchProgram  = "swiftcourse-bench"
	serverProgram = "swiftcourse"
)

// demoCommand demonstrates a two-level fleet of forwarders and workers.
type demoCommand struct{}

// Run executes the test bench, which provides the fake dependencies, in place of this program. It
// returns only if this fails.
func (c *demoCommand) Run() error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	folder := filepath.Dir(self)
	bench := filepath.Join(folder, benchProgram)
	args := []string{bench, "demo", "--levels", "--server", filepath.Join(folder, serverProgram)}
	return fmt.Errorf("%s: %w", bench, syscall.Exec(bench, args, os.Environ()))
}
