// Package random fixes the seed and the number of cases of rapid property tests, which makes their
// runs repeatable.
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
	// exitUsage is the exit status if the flags of the rapid library cannot be set.
	exitUsage = 2
)

// RunSeeded runs the tests of a package with a fixed seed and the given number of cases for each
// property, and then exits the process. It is to be called by TestMain.
func RunSeeded(m *testing.M, checks int) {
	flag.Parse()
	err := errors.Join(
		flag.Set("rapid.seed", rapidSeed),
		flag.Set("rapid.nofailfile", "true"),
		flag.Set("rapid.checks", strconv.Itoa(checks)),
	)
	if err != nil {
		fmt.Fprintln(os.Stderr, "set the flags of the rapid library:", err)
		os.Exit(exitUsage)
	}
	os.Exit(m.Run())
}
