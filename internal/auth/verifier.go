package auth

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"golang.org/x/crypto/bcrypt"
	"golang.org/x/time/rate"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Limits of the verification.
const (
	// maxKeyLength bounds a presented key, in bytes; bcrypt takes no more.
	maxKeyLength = 72
	// maxConcurrentHashes bounds the keys that are hashed at the same time, since
	// each takes tens of milliseconds of a core.
	maxConcurrentHashes = 2
	// failureInterval is the time in which a source regains one attempt, and
	// failureBurst the attempts that it may fail at once.
	failureInterval = 2 * time.Second
	failureBurst    = 5
	// maxSources bounds the sources whose failures are remembered.
	maxSources = 1024
)

// Operators returns the operators of the configuration in force, and false while
// the node does not know any configuration.
type Operators func() ([]model.Operator, bool)

// Verifier checks operators' credentials. It is safe for concurrent use.
type Verifier struct {
	operators Operators
	now       func() time.Time
	secret    [sha256.Size]byte
	hashes    chan struct{}

	mu sync.Mutex
	// verified holds, for each operator, a keyed digest of the last verified key
	// and its hash: a later call with the same key need not be hashed again.
	verified map[model.OperatorName][sha256.Size]byte
	failures map[string]*rate.Limiter
}

// NewVerifier returns a verifier of the operators in force.
func NewVerifier(operators Operators, now func() time.Time) (*Verifier, error) {
	v := &Verifier{
		operators: operators,
		now:       now,
		hashes:    make(chan struct{}, maxConcurrentHashes),
		verified:  make(map[model.OperatorName][sha256.Size]byte),
		failures:  make(map[string]*rate.Limiter),
	}
	if _, err := rand.Read(v.secret[:]); err != nil {
		return nil, fmt.Errorf("make the verifier's secret: %w", err)
	}
	return v, nil
}

// Request is what is known of who calls.
type Request struct {
	// Authorization is the header of that name.
	Authorization string
	// Source is the caller's address, HOST:PORT.
	Source string
	// Loopback is true when the API listens on a loopback address.
	Loopback bool
}

// Verify returns the operator that calls. While no operator is configured,
// everybody on a loopback address may call, as the operator without a name. The
// failure's code is unavailable, forbidden, unauthenticated or rate_limited.
func (v *Verifier) Verify(r Request) (model.Operator, *model.Failure) {
	operators, known := v.operators()
	switch {
	case !known:
		return model.Operator{}, model.Failf(model.CodeUnavailable, "this node does not know the configuration yet, nor who may operate")
	case len(operators) == 0 && !r.Loopback:
		return model.Operator{}, model.Failf(model.CodeForbidden, "no operator is configured: administration is open on loopback addresses only")
	case len(operators) == 0:
		return model.Operator{}, nil
	}
	credentials, ok := parseAuthorization(r.Authorization)
	if !ok {
		return model.Operator{}, unauthenticated("the header Authorization must be 'Bearer OPERATOR:KEY' or Basic")
	}
	return v.check(operators, credentials, sourceOf(r.Source))
}

// unauthenticated returns a failure of credentials.
func unauthenticated(reason string) *model.Failure {
	return model.Failf(model.CodeUnauthenticated, "%s", reason)
}

// check checks credentials against the operators in force.
func (v *Verifier) check(operators []model.Operator, presented credentials, source string) (model.Operator, *model.Failure) {
	operator, found := find(operators, presented.name)
	digest := v.digest(operator, presented.key)
	if found && v.isVerified(operator.Name, digest) {
		return operator, nil
	}
	if !v.mayTry(source) {
		return model.Operator{}, model.Failf(model.CodeRateLimited, "too many failed authentications from %s", source)
	}
	if !v.matches(operator, found, presented.key) {
		v.noteFailure(source)
		return model.Operator{}, unauthenticated("unknown operator or wrong key")
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.forget(operators)
	v.verified[operator.Name] = digest
	return operator, nil
}

// find returns an operator by name.
func find(operators []model.Operator, name model.OperatorName) (model.Operator, bool) {
	for _, operator := range operators {
		if operator.Name == name {
			return operator, true
		}
	}
	return model.Operator{Name: name}, false
}

// digest returns a keyed digest of an operator's key and the hash that it is to
// match, so that a rotated key is verified anew.
func (v *Verifier) digest(operator model.Operator, key string) [sha256.Size]byte {
	mac := hmac.New(sha256.New, v.secret[:])
	fmt.Fprintf(mac, "%d %s %d %s %s", len(operator.Name), operator.Name, len(operator.KeyHash), operator.KeyHash, key)
	return [sha256.Size]byte(mac.Sum(nil))
}

// isVerified reports whether the digest is that of the last verified key.
func (v *Verifier) isVerified(name model.OperatorName, digest [sha256.Size]byte) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	last, ok := v.verified[name]
	return ok && hmac.Equal(last[:], digest[:])
}

// forget removes the digests of operators that are no longer in force. The
// caller holds the lock.
func (v *Verifier) forget(operators []model.Operator) {
	for name := range v.verified {
		if _, found := find(operators, name); !found {
			delete(v.verified, name)
		}
	}
}

// absentHash is compared with when there is no such operator, so that the time
// of the answer does not tell which names exist. It is the hash of a random key
// that was not kept.
const absentHash = "$2a$10$PgOXo90/3vWys4CJ2wam6eizFl9pKbTc1TGfk8glVSXAyrsojWpua"

// matches hashes a key and compares.
func (v *Verifier) matches(operator model.Operator, found bool, key string) bool {
	v.hashes <- struct{}{}
	defer func() { <-v.hashes }()
	hash := absentHash
	if found {
		hash = operator.KeyHash
	}
	err := bcrypt.CompareHashAndPassword([]byte(hash), []byte(key))
	return found && err == nil
}

// mayTry reports whether a source has not failed too often.
func (v *Verifier) mayTry(source string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	limiter, ok := v.failures[source]
	return !ok || limiter.TokensAt(v.now()) >= 1
}

// noteFailure counts a failed attempt of a source.
func (v *Verifier) noteFailure(source string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.now()
	limiter, ok := v.failures[source]
	if !ok {
		v.makeRoom(now)
		limiter = rate.NewLimiter(rate.Every(failureInterval), failureBurst)
		v.failures[source] = limiter
	}
	limiter.AllowN(now, 1)
}

// makeRoom forgets the sources that may fail as often as a new one; if all are
// still limited, it forgets all of them.
func (v *Verifier) makeRoom(now time.Time) {
	if len(v.failures) < maxSources {
		return
	}
	for source, limiter := range v.failures {
		if limiter.TokensAt(now) >= failureBurst {
			delete(v.failures, source)
		}
	}
	if len(v.failures) >= maxSources {
		clear(v.failures)
	}
}

// sourceOf returns the host of an address.
func sourceOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return strings.TrimSpace(address)
	}
	return host
}
