package placement

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	_ "github.com/peridotstall/peridotstall/internal/testseed"
)

// Guards against an error of the approximated logarithm that biases the shares
// of targets.
func TestNegativeLog2IsAccurate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := rapid.Uint64Min(2).Draw(t, "x")
		got := float64(negativeLog2(x)) / (1 << logFraction)
		want := 64 - math.Log2(2*float64(x>>1|1))
		if math.Abs(got-want) > 1e-6 {
			t.Fatalf("-log2 of %d is %v, want %v", x, got, want)
		}
	})
}
