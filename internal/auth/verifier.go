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
	// maxKeyBytes bounds the length of a presented key. It is the limit of bcrypt.
	maxKeyBytes = 72
	// maxConcurrentHashes bounds the keys that are hashed at the same time, because
	// each hash takes tens of milliseconds of CPU time.
	maxConcurrentHashes = 2
	// failureInterval is the time after which a source regains one failed attempt.
	// failureBurst is the number of attempts that a source may fail without a pause.
	failureInterval = 2 * time.Second
	failureBurst    = 5
	// maxSources bounds the sources whose failures are counted.
	maxSources = 1024
)

// Operators returns the operators of the configuration in force. The second result is
// false while the node has no configuration.
type Operators func() ([]model.Operator, bool)

// Verifier checks operators' credentials. It is safe for concurrent use.
type Verifier struct {
	operators Operators
	now       func() time.Time
	secret    [sha256.Size]byte
	hashSlots chan struct{}

	mu sync.Mutex
	// verifiedDigests holds, for each operator, a keyed digest of the last verified key
	// and its hash, so that later calls with the same key skip bcrypt.
	verifiedDigests map[model.OperatorName][sha256.Size]byte
	// failureLimiters counts the failed attempts of each source.
	failureLimiters map[string]*rate.Limiter
}

// NewVerifier returns a verifier of the operators in force.
func NewVerifier(operators Operators, now func() time.Time) (*Verifier, error) {
	v := &Verifier{
		operators:       operators,
		now:             now,
		hashSlots:       make(chan struct{}, maxConcurrentHashes),
		verifiedDigests: make(map[model.OperatorName][sha256.Size]byte),
		failureLimiters: make(map[string]*rate.Limiter),
	}
	if _, err := rand.Read(v.secret[:]); err != nil {
		return nil, fmt.Errorf("generate the secret of the verifier: %w", err)
	}
	return v, nil
}

// Request holds the attributes of a call that authentication depends on.
type Request struct {
	// Authorization is the value of the Authorization header.
	Authorization string
	// Source is the caller's address, HOST:PORT.
	Source string
	// OnLoopback is true when the API listens on a loopback address.
	OnLoopback bool
}

// Verify authenticates a call and returns its operator. While no operator is configured,
// it accepts every call to a loopback address and returns an operator without a name.
// The code of a failure is unavailable, forbidden, unauthenticated or rate_limited.
func (v *Verifier) Verify(r Request) (model.Operator, *model.Failure) {
	operators, hasConfig := v.operators()
	switch {
	case !hasConfig:
		return model.Operator{}, model.Failf(model.CodeUnavailable, "this node has no configuration yet and cannot authenticate operators")
	case len(operators) == 0 && !r.OnLoopback:
		return model.Operator{}, model.Failf(model.CodeForbidden, "no operator is configured: administration is open on loopback addresses only")
	case len(operators) == 0:
		return model.Operator{}, nil
	}
	credentials, ok := parseAuthorization(r.Authorization)
	if !ok {
		return model.Operator{}, unauthenticated("the header Authorization must be 'Bearer OPERATOR:KEY' or Basic")
	}
	return v.check(operators, credentials, sourceHost(r.Source))
}

// unauthenticated returns a failure with the code unauthenticated.
func unauthenticated(reason string) *model.Failure {
	return model.Failf(model.CodeUnauthenticated, "%s", reason)
}

// check checks credentials against the operators in force.
func (v *Verifier) check(operators []model.Operator, presented credentials, source string) (model.Operator, *model.Failure) {
	operator, found := findOperator(operators, presented.name)
	digest := v.digest(operator, presented.key)
	if found && v.isVerified(operator.Name, digest) {
		return operator, nil
	}
	if !v.allowAttempt(source) {
		return model.Operator{}, model.Failf(model.CodeRateLimited, "too many failed authentications from %s", source)
	}
	if !v.matchesKey(operator, found, presented.key) {
		v.recordFailure(source)
		return model.Operator{}, unauthenticated("unknown operator or wrong key")
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.removeStaleDigests(operators)
	v.verifiedDigests[operator.Name] = digest
	return operator, nil
}

// findOperator returns the operator with a name. If there is none, it returns an operator
// that has only the name, and false.
func findOperator(operators []model.Operator, name model.OperatorName) (model.Operator, bool) {
	for _, operator := range operators {
		if operator.Name == name {
			return operator, true
		}
	}
	return model.Operator{Name: name}, false
}

// digest returns a keyed digest of an operator's key and of the hash that the key must
// match. After a key rotation the digest differs, so that the key is verified again.
func (v *Verifier) digest(operator model.Operator, key string) [sha256.Size]byte {
	mac := hmac.New(sha256.New, v.secret[:])
	fmt.Fprintf(mac, "%d %s %d %s %s", len(operator.Name), operator.Name, len(operator.KeyHash), operator.KeyHash, key)
	return [sha256.Size]byte(mac.Sum(nil))
}

// isVerified reports whether a digest is that of the last verified key of an operator.
func (v *Verifier) isVerified(name model.OperatorName, digest [sha256.Size]byte) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	last, ok := v.verifiedDigests[name]
	return ok && hmac.Equal(last[:], digest[:])
}

// removeStaleDigests removes the digests of operators that are no longer configured. The
// caller must hold mu.
func (v *Verifier) removeStaleDigests(operators []model.Operator) {
	for name := range v.verifiedDigests {
		if _, found := findOperator(operators, name); !found {
			delete(v.verifiedDigests, name)
		}
	}
}

// dummyHash is compared with the key if the operator does not exist, so that the response
// time does not reveal which names exist. It is the hash of a discarded random key.
const dummyHash = "$2a$10$PgOXo90/3vWys4CJ2wam6eizFl9pKbTc1TGfk8glVSXAyrsojWpua"

// matchesKey reports whether a key matches the hash of an operator. It hashes the key
// even if the operator was not found.
func (v *Verifier) matchesKey(operator model.Operator, found bool, key string) bool {
	v.hashSlots <- struct{}{}
	defer func() { <-v.hashSlots }()
	hash := dummyHash
	if found {
		hash = operator.KeyHash
	}
	err := bcrypt.CompareHashAndPassword([]byte(hash), []byte(key))
	return found && err == nil
}

// allowAttempt reports whether a source may make another attempt.
func (v *Verifier) allowAttempt(source string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	limiter, ok := v.failureLimiters[source]
	return !ok || limiter.TokensAt(v.now()) >= 1
}

// recordFailure counts a failed attempt against the limit of a source.
func (v *Verifier) recordFailure(source string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.now()
	limiter, ok := v.failureLimiters[source]
	if !ok {
		v.evictSources(now)
		limiter = rate.NewLimiter(rate.Every(failureInterval), failureBurst)
		v.failureLimiters[source] = limiter
	}
	limiter.AllowN(now, 1)
}

// evictSources makes room for another source once maxSources is reached. It removes the
// sources whose attempts are all available again; if there are none, it removes the one with
// the most attempts left, so that a caller with many addresses cannot lift its own limit.
func (v *Verifier) evictSources(now time.Time) {
	if len(v.failureLimiters) < maxSources {
		return
	}
	leastLimited, mostLeft := "", -1.0
	for source, limiter := range v.failureLimiters {
		left := limiter.TokensAt(now)
		if left >= failureBurst {
			delete(v.failureLimiters, source)
		}
		if left > mostLeft {
			leastLimited, mostLeft = source, left
		}
	}
	if len(v.failureLimiters) >= maxSources {
		delete(v.failureLimiters, leastLimited)
	}
}

// sourceHost returns the host of an address, or the address if it has no port.
func sourceHost(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return strings.TrimSpace(address)
	}
	return host
}
