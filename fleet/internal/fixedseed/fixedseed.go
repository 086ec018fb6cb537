// Package fixedseed makes property tests reproducible.
package fixedseed

import (
	"flag"
	"testing"
)

// Run runs a package's tests with a fixed seed of rapid, unless the flag -rapid.seed
// sets another one. It returns the exit code.
func Run(m *testing.M) int {
	if f := flag.Lookup("rapid.seed"); f != nil {
		_ = f.Value.Set("1")
	}
	return m.Run()
}
