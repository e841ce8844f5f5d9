package budget

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// TestNeverExceeded checks that the tokens taken never exceed the share of the
// deposits, in any order of deposits, takes, refunds and charges.
func TestNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Share: model.Percent(rapid.IntRange(0, 20).Draw(t, "share")), Burst: 3}
		var bucket Bucket
		deposits := 0.0
		t.Repeat(map[string]func(*rapid.T){
			"deposit": func(*rapid.T) {
				bucket.Deposit(limits)
				deposits++
			},
			"take": func(*rapid.T) { bucket.Take() },
			"refund": func(*rapid.T) {
				if bucket.Taken() > 0 {
					bucket.Refund()
				}
			},
			"charge": func(*rapid.T) { bucket.Charge(1) },
			"": func(t *rapid.T) {
				if float64(bucket.Taken()) > limits.Share.Of(deposits)+1e-9 {
					t.Fatalf("%d taken of %g deposits", bucket.Taken(), deposits)
				}
			},
		})
	})
}
