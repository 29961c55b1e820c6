package segment

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/dchest/siphash"
)

// rankPeriod is the time after which callers are ranked anew, so that an overload does not
// hit the same callers all day.
const rankPeriod = time.Minute

// SipHash key of the ranks of callers. All processes rank a caller alike.
const (
	rankKey0 = 0x63616c6c65722072
	rankKey1 = 0x616e6b206b657931
)

// RankPeriod numbers the time for which the ranks of callers hold.
type RankPeriod uint64

// RankPeriodAt returns the period of a time of day.
func RankPeriodAt(t time.Time) RankPeriod {
	return RankPeriod(t.Unix() / int64(rankPeriod/time.Second))
}

// Rank returns the rank of the endpoint's host among all hosts, from 0 to below 1.
func (e Endpoint) Rank(period RankPeriod) float64 {
	var b [12]byte
	copy(b[:4], e.IP[:])
	binary.BigEndian.PutUint64(b[4:], uint64(period))
	return float64(siphash.Hash(rankKey0, rankKey1, b[:])>>11) / (math.MaxUint64>>11 + 1)
}
