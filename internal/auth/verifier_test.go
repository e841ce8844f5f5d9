package auth

import (
	"encoding/base64"
	"errors"
	"testing"
	"time"

	"golang.org/x/crypto/bcrypt"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// fixture is a verifier with two operators and a manual clock.
type fixture struct {
	t         *testing.T
	verifier  *Verifier
	operators []model.Operator
	hasConfig bool
	now       time.Time
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, hasConfig: true, now: time.Unix(1_800_000_000, 0)}
	f.operators = []model.Operator{
		{Name: "root", KeyHash: hashOf(t, "root-key")},
		{Name: "anna", User: "a", KeyHash: hashOf(t, "anna-key")},
	}
	verifier, err := NewVerifier(func() ([]model.Operator, bool) { return f.operators, f.hasConfig }, func() time.Time { return f.now })
	if err != nil {
		t.Fatal(err)
	}
	f.verifier = verifier
	return f
}

func hashOf(t *testing.T, key string) string {
	hash, err := bcrypt.GenerateFromPassword([]byte(key), bcrypt.MinCost)
	if err != nil {
		t.Fatal(err)
	}
	return string(hash)
}

// verify verifies an Authorization header from a source and returns the name of the
// operator or the code of the failure.
func (f *fixture) verify(header, source string) string {
	operator, failure := f.verifier.Verify(Request{Authorization: header, Source: source + ":999"})
	if failure != nil {
		return string(failure.Code)
	}
	return string(operator.Name)
}

func TestCredentials(t *testing.T) {
	f := newFixture(t)
	basic := "Basic " + base64.StdEncoding.EncodeToString([]byte("anna:anna-key"))
	for _, c := range []struct{ header, want string }{
		{"Bearer root:root-key", "root"},
		{"bearer anna:anna-key", "anna"},
		{basic, "anna"},
		{"Bearer anna:root-key", "unauthenticated"},
		{"Bearer nobody:root-key", "unauthenticated"},
		{"", "unauthenticated"},
		{"Bearer anna-key", "unauthenticated"},
		{"Basic !!", "unauthenticated"},
		{"Digest anna:anna-key", "unauthenticated"},
		{"Bearer anna:" + string(make([]byte, 100)), "unauthenticated"},
	} {
		if got := f.verify(c.header, c.header); got != c.want {
			t.Errorf("header %.40q: got %s, want %s", c.header, got, c.want)
		}
	}
}

func TestNoOperatorsAllowsLoopbackOnly(t *testing.T) {
	f := newFixture(t)
	f.operators = nil
	for _, c := range []struct {
		hasConfig, loopback bool
		want                model.Code
	}{
		{true, true, ""},
		{true, false, model.CodeForbidden},
		{false, true, model.CodeUnavailable},
		{false, false, model.CodeUnavailable},
	} {
		f.hasConfig = c.hasConfig
		_, failure := f.verifier.Verify(Request{Source: "127.0.0.1:1", OnLoopback: c.loopback})
		switch {
		case c.want == "" && failure != nil, c.want != "" && (failure == nil || failure.Code != c.want):
			t.Errorf("hasConfig %t, loopback %t: %v, want %q", c.hasConfig, c.loopback, failure, c.want)
		}
	}
}

func TestRotatedOrRemovedKeyIsRejected(t *testing.T) {
	f := newFixture(t)
	if got := f.verify("Bearer anna:anna-key", "h"); got != "anna" {
		t.Fatal(got)
	}
	f.operators[1].KeyHash = hashOf(t, "new-key")
	if got := f.verify("Bearer anna:anna-key", "h"); got != "unauthenticated" {
		t.Errorf("old key: got %s, want unauthenticated", got)
	}
	if got := f.verify("Bearer anna:new-key", "h"); got != "anna" {
		t.Errorf("new key: got %s, want anna", got)
	}
	f.operators = f.operators[:1]
	if got := f.verify("Bearer anna:new-key", "h"); got != "unauthenticated" {
		t.Errorf("removed operator: got %s, want unauthenticated", got)
	}
}

func TestFailuresAreLimitedPerSource(t *testing.T) {
	f := newFixture(t)
	if got := f.verify("Bearer root:root-key", "desk"); got != "root" {
		t.Fatal(got)
	}
	for range failureBurst {
		if got := f.verify("Bearer root:guess", "desk"); got != "unauthenticated" {
			t.Fatal(got)
		}
	}
	if got := f.verify("Bearer root:guess", "desk"); got != "rate_limited" {
		t.Errorf("guess over the limit: got %s, want rate_limited", got)
	}
	if got := f.verify("Bearer root:root-key", "desk"); got != "root" {
		t.Errorf("verified key from the limited source: got %s, want root", got)
	}
	if got := f.verify("Bearer anna:anna-key", "home"); got != "anna" {
		t.Errorf("another source: got %s, want anna", got)
	}
	f.now = f.now.Add(failureInterval)
	if got := f.verify("Bearer root:guess", "desk"); got != "unauthenticated" {
		t.Errorf("guess after the failure interval: got %s, want unauthenticated", got)
	}
	for i := range 3 * maxSources {
		f.verifier.recordFailure(string(rune(i)))
	}
	if n := len(f.verifier.failureLimiters); n > maxSources {
		t.Errorf("%d sources are counted, want at most maxSources", n)
	}
}

// TestLimitSurvivesManySources guards against a caller that lifts the limit on its guesses by
// failing from as many other addresses as the node counts.
func TestLimitSurvivesManySources(t *testing.T) {
	f := newFixture(t)
	for range failureBurst {
		f.verify("Bearer root:guess", "desk")
	}
	for i := range 3 * maxSources {
		f.verifier.recordFailure(string(rune(i)))
	}
	if got := f.verify("Bearer root:guess", "desk"); got != "rate_limited" {
		t.Errorf("guess over the limit: got %s, want rate_limited", got)
	}
}

func TestCheckAddress(t *testing.T) {
	for _, c := range []struct {
		address   string
		operators bool
		tls       bool
		want      string
	}{
		{"127.0.0.1:1", false, false, ""},
		{"[::1]:1", false, false, ""},
		{"10.0.0.1:1", false, true, "--listen-admin"},
		{"0.0.0.0:1", false, false, "--listen-admin"},
		{":1", false, false, "--listen-admin"},
		{"localhost:1", false, false, "--listen-admin"},
		{"10.0.0.1:1", true, false, "--admin-cert"},
		{"10.0.0.1:1", true, true, ""},
	} {
		err := Settings{OperatorsOnly: c.operators}.CheckAddress(c.address, c.tls)
		var address *AddressError
		switch {
		case c.want == "" && err != nil:
			t.Errorf("%+v: unexpected error: %v", c, err)
		case c.want != "" && (!errors.As(err, &address) || address.Setting != c.want):
			t.Errorf("%+v: wrong error: %v", c, err)
		}
	}
}

func TestNewKeyMatchesHash(t *testing.T) {
	key, hash, err := NewKey()
	if err != nil {
		t.Fatal(err)
	}
	if err := bcrypt.CompareHashAndPassword([]byte(hash), []byte(key)); err != nil {
		t.Error(err)
	}
	if cost, _ := bcrypt.Cost([]byte(hash)); cost != BcryptCost || len(key) < 43 {
		t.Errorf("cost %d, key of %d characters", cost, len(key))
	}
	if err := bcrypt.CompareHashAndPassword([]byte(dummyHash), []byte(key)); !errors.Is(err, bcrypt.ErrMismatchedHashAndPassword) {
		t.Errorf("dummyHash: got %v, want a mismatch", err)
	}
}

func BenchmarkVerifiedKey(b *testing.B) {
	key, hash, err := NewKey()
	if err != nil {
		b.Fatal(err)
	}
	operators := []model.Operator{{Name: "root", KeyHash: hash}}
	verifier, err := NewVerifier(func() ([]model.Operator, bool) { return operators, true }, time.Now)
	if err != nil {
		b.Fatal(err)
	}
	request := Request{Authorization: "Bearer root:" + key, Source: "127.0.0.1:1"}
	start := time.Now()
	if _, failure := verifier.Verify(request); failure != nil {
		b.Fatal(failure)
	}
	b.Logf("first verification: %s", time.Since(start))
	b.ResetTimer()
	for range b.N {
		if _, failure := verifier.Verify(request); failure != nil {
			b.Fatal(failure)
		}
	}
}
