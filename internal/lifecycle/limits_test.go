package lifecycle

import "testing"

// Guards against a limit of the Go runtime that leaves no room for the program's own pages, which count
// towards the memory of a process too: with 32 MiB and a program of 15 MiB, 70% would.
func TestRuntimeMemoryLimit(t *testing.T) {
	const mib = 1 << 20
	for _, c := range []struct{ memory, files, want int64 }{
		{192 * mib, 15 * mib, 192 * mib * 7 / 10},
		{32 * mib, 15 * mib, 15 * mib},
		{32 * mib, 9 * mib, 21 * mib},
		{32 * mib, 40 * mib, 8 * mib},
	} {
		if got := runtimeMemoryLimit(c.memory, c.files); got != c.want {
			t.Errorf("%d MiB, %d MiB of files: %d bytes, want %d", c.memory/mib, c.files/mib, got, c.want)
		}
	}
	if resident, files := ResidentMemory(); files <= 0 || files >= resident {
		t.Errorf("%d bytes resident, %d of them pages of files; want some of the test program, and others",
			resident, files)
	}
}
