// Package budget limits extra attempts to a share of the first attempts with a token
// bucket: each first attempt adds a fraction of a token, each extra attempt takes a
// whole one.
package budget

import "github.com/hawthorntack/hawthorntack/internal/model"

// Bucket holds the tokens for one kind of extra attempt. The zero value is empty, so
// that without Grant extra attempts never exceed their share of the first attempts.
type Bucket struct {
	tokens float64
	taken  uint64
}

// Limits sets the rate and size of a bucket.
type Limits struct {
	// Share is the number of extra attempts permitted per first attempt, in percent.
	Share model.Percent
	// Burst is the number of tokens up to which Deposit fills a bucket.
	Burst float64
}

// Deposit adds the tokens earned by one first attempt.
func (b *Bucket) Deposit(limits Limits) {
	b.tokens = min(b.tokens+limits.Share.Of(1), max(limits.Burst, b.tokens))
}

// Refill adds tokens that accrue with time, up to the burst.
func (b *Bucket) Refill(tokens float64, limits Limits) {
	b.tokens = max(b.tokens, min(b.tokens+tokens, limits.Burst))
}

// Grant adds tokens that no first attempt earned, such as the initial tokens of a
// new service.
func (b *Bucket) Grant(tokens float64) { b.tokens += tokens }

// Take takes one token and reports whether there was one.
func (b *Bucket) Take() bool { return b.TakeAbove(0) }

// TakeAbove takes one token if the reserve is left afterwards, and reports whether it did.
func (b *Bucket) TakeAbove(reserve float64) bool {
	if b.tokens < 1+reserve {
		return false
	}
	b.tokens--
	b.taken++
	return true
}

// Refund returns the token of an extra attempt that never ran.
func (b *Bucket) Refund() {
	b.tokens++
	b.taken--
}

// Charge takes tokens for extra attempts that cannot be refused. The balance may
// become negative; later deposits make up for it.
func (b *Bucket) Charge(tokens float64) { b.tokens -= tokens }

// Tokens returns the balance, which is negative after too many charges.
func (b *Bucket) Tokens() float64 { return b.tokens }

// Taken returns the number of tokens that Take took and Refund did not return.
func (b *Bucket) Taken() uint64 { return b.taken }
