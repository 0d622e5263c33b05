package fleetcmd

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// The programs that stand in the folder of this one: the test bench, and the server that it starts.
const (
	benchProgram  = "swiftcourse-bench"
	serverProgram = "swiftcourse"
)

// demoCommand shows a fleet of two levels.
type demoCommand struct{}

// Run replaces this program by the test bench, which has the fake dependencies. It returns only if
// that failed.
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
