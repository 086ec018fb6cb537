// Package fixedseed makes property tests draw the same values in every run.
package fixedseed

import (
	"flag"
	"testing"
)

// Run runs a package's tests with a fixed seed of rapid, unless the command line
// names another one. It returns the exit code.
func Run(m *testing.M) int {
	if f := flag.Lookup("rapid.seed"); f != nil {
		_ = f.Value.Set("1")
	}
	return m.Run()
}
