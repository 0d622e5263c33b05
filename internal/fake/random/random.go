// Package random makes property tests repeatable: it fixes the seed and the number of cases of the rapid library.
package random

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
)

const (
	rapidSeed = "20261201"
	// exitUsage is the status of a test binary whose flags could not be set.
	exitUsage = 2
)

// RunSeeded runs the tests of a package with a fixed seed and the given number of cases for each property, and exits
// the process. TestMain calls it.
func RunSeeded(m *testing.M, checks int) {
	flag.Parse()
	err := errors.Join(
		flag.Set("rapid.seed", rapidSeed),
		flag.Set("rapid.nofailfile", "true"),
		flag.Set("rapid.checks", strconv.Itoa(checks)),
	)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	os.Exit(m.Run())
}
