package faultinjection

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"testing"
)

// copyPrograms copies the programs under test into a temporary folder and returns the path of the
// server.
func copyPrograms(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	for _, name := range []string{"swiftcourse", "swiftcourse-fleet"} {
		source, err := os.Open(filepath.Join(filepath.Dir(program), name))
		if err != nil {
			t.Fatal(err)
		}
		defer source.Close()
		target, err := os.OpenFile(filepath.Join(folder, name), os.O_CREATE|os.O_WRONLY, 0o755)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(target, source); err != nil {
			t.Fatal(err)
		}
		if err := target.Close(); err != nil {
			t.Fatal(err)
		}
	}
	return filepath.Join(folder, "swiftcourse")
}

// n3 starts with another binary than n1 and n2. n2 is then upgraded to that binary and downgraded
// again. Each time the process must run the requested binary and join the fleet.
func TestReplace_RunsRequestedBinary(t *testing.T) {
	other := copyPrograms(t)
	f := startFleet(t, Config{Servers: 3, Seed: 61, ProgramByName: map[string]string{"n3": other}})
	for name, want := range map[string]string{"n1": program, "n2": program, "n3": other} {
		if err := f.CheckProgramFolder(name, want); err != nil {
			t.Error(err)
		}
	}
	if err := f.CheckProgramFolder("n3", program); err == nil {
		t.Error("CheckProgramFolder returned no error for a program that n3 does not run, want one")
	}
	for _, path := range []string{other, program} {
		if err := f.Replace(context.Background(), "n2", path); err != nil {
			t.Fatal(err)
		}
		epoch := f.release(t, "n1", "door-come-back 300ms\n")
		f.await(t, "all servers apply the release", func() bool { return f.AllActiveOn(epoch, f.Names...) })
	}
}
