package placement

import (
	"math"
	"math/bits"
)

const (
	// logTableBits is the number of mantissa bits that index the table of
	// logarithms; linear interpolation covers the rest.
	logTableBits = 10
	logTableSize = 1 << logTableBits
	// logFraction is the number of fractional bits of a logarithm.
	logFraction = 40
	// logHeadroom is the number of unused high bits of a logarithm, which is
	// at most 64.
	logHeadroom = 64 - logFraction - 7
	// mantissaBits and maxExponent describe a float64 of 2^63.
	mantissaBits = 52
	maxExponent  = 1023 + 63
	// restBits is the precision of the interpolation step; with the 42 bits of
	// the remainder the product stays below 64 bits.
	restBits = 28
)

// logTable holds log2(1+i/logTableSize) with logFraction fractional bits. The
// scores use integers only, since floating point results may differ in the
// last bit between processor types and all processes must agree on the order.
var logTable = newLogTable()

func newLogTable() [logTableSize + 1]uint64 {
	var table [logTableSize + 1]uint64
	for i := range table {
		value := math.Log2(1 + float64(i)/logTableSize)
		table[i] = uint64(math.Round(value * (1 << 32)))
		table[i] <<= logFraction - 32
	}
	return table
}

// ranked is an entry with its score; the lowest score is the best.
type ranked struct {
	index int
	score uint64
}

// insert keeps the lowest scores in order and returns the new length.
func insert(top *[MaxCandidates]ranked, n int, r ranked) int {
	if n == MaxCandidates && r.score >= top[n-1].score {
		return n
	}
	if n < MaxCandidates {
		n++
	}
	i := n - 1
	for i > 0 && top[i-1].score > r.score {
		top[i] = top[i-1]
		i--
	}
	top[i] = r
	return n
}

// score is -log2(u)/weight for a pseudo-random u in (0,1] that depends on flow
// and entry: weighted rendezvous hashing, where an entry wins a share of the
// flows in proportion to its weight.
func score(e *entry, hash uint64) uint64 {
	quotient, _ := bits.Mul64(negativeLog2(mix(hash^e.seed))<<logHeadroom, e.inverse)
	return quotient
}

// negativeLog2 returns -log2((x|1)/2^64) with logFraction fractional bits. The
// conversion to float64 is exact in all Go implementations and serves only to
// split the number into exponent and mantissa.
func negativeLog2(x uint64) uint64 {
	float := math.Float64bits(float64(int64(x>>1 | 1)))
	exponent := float >> mantissaBits
	index := float >> (mantissaBits - logTableBits) & (logTableSize - 1)
	rest := float & (1<<(mantissaBits-logTableBits) - 1)
	low, high := logTable[index], logTable[index+1]
	log := low + (high-low)>>(logFraction-restBits)*rest>>(mantissaBits-logTableBits-logFraction+restBits)
	return (maxExponent-exponent)<<logFraction - log
}

// mix is a bijective finaliser (variant 13 by David Stafford).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}
