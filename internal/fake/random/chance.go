// Package random fixes what tests on drawn inputs draw, so that they give the same verdict every time.
package random

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
)

// RunSeeded runs the tests of a package, each drawn one with so many draws from a seed that stays the same. TestMain calls it.
func RunSeeded(m *testing.M, draws int) {
	flag.Parse()
	if err := errors.Join(flag.Set("rapid.seed", "20261201"), flag.Set("rapid.nofailfile", "true"),
		flag.Set("rapid.checks", strconv.Itoa(draws))); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(m.Run())
}
