// Package budget bounds extra work as a share of first attempts with a token
// bucket: each first attempt adds a fraction of a token, each extra attempt
// takes a whole one.
package budget

import "github.com/hawthorntack/hawthorntack/internal/model"

// Bucket holds tokens for one kind of extra work. The zero value is empty, so
// that extra work never exceeds its share of the first attempts.
type Bucket struct {
	tokens float64
	taken  uint64
}

// Limits bounds a bucket.
type Limits struct {
	// Share is the extra work permitted for each first attempt.
	Share model.Percent
	// Burst is the most tokens that a bucket saves up.
	Burst float64
}

// Deposit adds the share of one first attempt.
func (b *Bucket) Deposit(limits Limits) {
	b.tokens = min(b.tokens+limits.Share.Of(1), max(limits.Burst, b.tokens))
}

// Grant adds tokens that no first attempt earned, such as those of a service
// that has just started.
func (b *Bucket) Grant(tokens float64) { b.tokens += tokens }

// Take takes one token and reports whether there was one.
func (b *Bucket) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	b.taken++
	return true
}

// Refund returns a token whose work never ran.
func (b *Bucket) Refund() {
	b.tokens++
	b.taken--
}

// Charge takes tokens for work that cannot be refused. The bucket may fall into
// debt, which later first attempts pay off.
func (b *Bucket) Charge(tokens float64) { b.tokens -= tokens }

// Tokens returns what is left; it is negative in debt.
func (b *Bucket) Tokens() float64 { return b.tokens }

// Taken returns how many tokens were taken and not refunded.
func (b *Bucket) Taken() uint64 { return b.taken }
