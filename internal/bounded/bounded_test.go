package bounded

import (
	"math"
	"testing"
	"time"
)

// extremes are numbers that arithmetic or a conversion to an integer does not survive.
var extremes = []float64{
	math.NaN(), math.Inf(1), math.Inf(-1), math.MaxFloat64, -math.MaxFloat64, math.MaxInt64, math.MinInt64, math.MaxUint64,
	math.SmallestNonzeroFloat64, 0, -1, 1e18, 1e19,
}

// TestExtremesStayInBounds checks that no number leaves a conversion out of its bounds.
func TestExtremesStayInBounds(t *testing.T) {
	for _, n := range extremes {
		if got := Rate(n); !(got >= 0 && got <= MaxRate) {
			t.Errorf("Rate(%g) = %g", n, got)
		}
		if got := Units(n, time.Second); got < 0 || got > MaxDuration {
			t.Errorf("Units(%g) = %v", n, got)
		}
	}
	for _, n := range []int64{math.MaxInt64, math.MinInt64, 0, -1, 1 << 40} {
		if got := Count(n); got < 0 || got > MaxCount {
			t.Errorf("Count(%d) = %d", n, got)
		}
		if got := Span(time.Duration(n)); got < -MaxDuration || got > MaxDuration {
			t.Errorf("Span(%d) = %v", n, got)
		}
	}
}

// TestParse checks which texts are numbers, and that large ones count as the bound.
func TestParse(t *testing.T) {
	for _, c := range []struct {
		text    string
		decimal float64
		isNumber,
		isWhole bool
	}{
		{"0", 0, true, true},
		{" 12 ", 12, true, true},
		{"2.5", 2.5, true, false},
		{"9223372036854775807", 100, true, true},
		{"99999999999999999999", 100, true, true},
		{"1e400", 100, true, false},
		{"-1", 0, false, false},
		{"-99999999999999999999", 0, false, false},
		{"NaN", 0, false, false},
		{"Inf", 100, true, false},
		{"", 0, false, false},
		{"many", 0, false, false},
	} {
		if got, isNumber := ParseDecimal(c.text, 100); got != c.decimal || isNumber != c.isNumber {
			t.Errorf("decimal %q: %g, %t", c.text, got, isNumber)
		}
		got, isWhole := ParseWhole(c.text, 100)
		if isWhole != c.isWhole || isWhole && float64(got) != c.decimal {
			t.Errorf("whole %q: %d, %t", c.text, got, isWhole)
		}
	}
}
