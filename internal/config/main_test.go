package config

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that the same tree always
// gives the same verdict. -rapid.seed overrides it.
func TestMain(m *testing.M) {
	flag.Parse()
	seed := flag.Lookup("rapid.seed")
	if seed.Value.String() == "0" {
		if err := flag.Set("rapid.seed", "20260101"); err != nil {
			panic(err)
		}
	}
	fmt.Println("rapid seed:", seed.Value)
	os.Exit(m.Run())
}
