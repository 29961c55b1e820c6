// Package testseed fixes the seed of property tests, so that the same source tree
// gives the same result on every run. Tests import it for its side effect, or call
// Main with a seed of their own; a seed given on the command line overrides both.
package testseed

import (
	"flag"
	"fmt"
	"os"
	"testing"

	// The import registers the flags before init sets them.
	_ "pgregory.net/rapid"
)

const (
	// defaultSeed is the seed of tests that do not call Main.
	defaultSeed = "20261204"
	seedFlag    = "rapid.seed"
)

func init() {
	setFlag(seedFlag, defaultSeed)
	// Rapid would rerun the input of an earlier failure from its fail file, which
	// could change the result.
	setFlag("rapid.nofailfile", "true")
}

// Main is the body of a TestMain: it sets and prints the seed, runs the tests of
// the package and exits.
func Main(m *testing.M, seed string) {
	setFlag(seedFlag, seed)
	flag.Parse()
	fmt.Println("rapid seed:", flag.Lookup(seedFlag).Value)
	os.Exit(m.Run())
}

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
