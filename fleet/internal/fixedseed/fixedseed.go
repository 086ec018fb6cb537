// Package fixedseed makes property tests draw the same values in every run.
package fixedseed

import "flag"

// Use sets the seed of rapid unless the command line names one. It is called
// from TestMain, before the flags are parsed.
func Use() {
	if f := flag.Lookup("rapid.seed"); f != nil {
		_ = f.Value.Set("1")
	}
}
