package placement

import (
	"math"
	"math/bits"
)

const (
	// logTableBits is the number of mantissa bits that index logTable. Linear
	// interpolation covers the remaining bits.
	logTableBits = 10
	logTableSize = 1 << logTableBits
	// logFraction is the number of fractional bits of a logarithm.
	logFraction = 40
	// logHeadroom is the number of unused high bits of a logarithm, whose value
	// is at most 64 and takes 7 integer bits.
	logHeadroom = 64 - logFraction - 7
	// mantissaBits is the mantissa size of a float64, maxExponent the biased
	// exponent of 2^63.
	mantissaBits = 52
	maxExponent  = 1023 + 63
	// stepBits is the number of fractional bits of an interpolation step. With
	// the 42 bits of the remainder the product stays below 64 bits.
	stepBits = 28
)

// logTable holds log2(1+i/logTableSize) with logFraction fractional bits. Scores
// use integer arithmetic only, since floating-point results may differ in the
// last bit between processor types and all processes must compute the same order.
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

// ranked is the index of an entry with its score. The lowest score is the best.
type ranked struct {
	index int
	score uint64
}

// insertRanked inserts r into the n lowest scores in top, which are in ascending
// order, and returns their new number.
func insertRanked(top *[MaxCandidates]ranked, n int, r ranked) int {
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

// score returns -log2(u)/weight for a pseudo-random u in (0,1] derived from flow
// and entry. This is weighted rendezvous hashing: an entry has the lowest score
// for a share of the flows in proportion to its weight.
func score(e *entry, hash uint64) uint64 {
	quotient, _ := bits.Mul64(negativeLog2(mix(hash^e.seed))<<logHeadroom, e.inverse)
	return quotient
}

// negativeLog2 returns -log2((x|1)/2^64) with logFraction fractional bits. The
// conversion to float64 has the same result in all Go implementations and only
// serves to split the number into exponent and mantissa.
func negativeLog2(x uint64) uint64 {
	floatBits := math.Float64bits(float64(int64(x>>1 | 1)))
	exponent := floatBits >> mantissaBits
	index := floatBits >> (mantissaBits - logTableBits) & (logTableSize - 1)
	remainder := floatBits & (1<<(mantissaBits-logTableBits) - 1)
	low, high := logTable[index], logTable[index+1]
	log := low + (high-low)>>(logFraction-stepBits)*remainder>>(mantissaBits-logTableBits-logFraction+stepBits)
	return (maxExponent-exponent)<<logFraction - log
}

// mix is a bijective 64-bit finalizer: variant 13 (Mix13) by David Stafford.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}
