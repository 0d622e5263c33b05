package process

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// BuildProgram builds the server, and the program that it executes if a fleet is configured, in a new
// folder. It returns the path of the server's binary; the caller removes the folder with remove.
func BuildProgram() (program string, remove func(), err error) {
	folder, err := os.MkdirTemp("", dirPattern)
	if err != nil {
		return "", nil, err
	}
	remove = func() { _ = os.RemoveAll(folder) }
	output, err := exec.Command("go", "build", "-o", folder+"/", "swiftcourse/cmd/swiftcourse",
		"swiftcourse/cmd/swiftcourse-fleet").CombinedOutput()
	if err != nil {
		remove()
		return "", nil, fmt.Errorf("build the server: %w\n%s", err, output)
	}
	return filepath.Join(folder, "swiftcourse"), remove, nil
}
