package statement

import (
	"fmt"
	"math"
	"net"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Limits of values.
const (
	// maxNameLength bounds the names of users, services, upstreams, operators,
	// hosts, shards and failure domains, in bytes.
	maxNameLength = 64
	// maxCount bounds slots, connections, requests in flight, queues and weights.
	maxCount = 1 << 20
	// maxRate bounds rates, in requests per second.
	maxRate = 1e9
	// maxDuration bounds durations.
	maxDuration = 366 * 24 * time.Hour
)

// unlimited is the word for a limit of zero, which means no limit.
const unlimited = "unlimited"

// nameSyntax matches a valid name.
var nameSyntax = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.-]*$`)

// ValueError reports a word that is not a valid value of the expected kind.
type ValueError struct {
	Found    string
	Expected string
}

// Error implements error.
func (e *ValueError) Error() string { return fmt.Sprintf("found %q, expected %s", e.Found, e.Expected) }

// Name is the name of a user, service, upstream, operator, host, shard or failure
// domain.
type Name string

// Capture implements participle.Capture.
func (n *Name) Capture(words []string) error {
	word := words[0]
	if len(word) > maxNameLength || !nameSyntax.MatchString(word) {
		return &ValueError{Found: word, Expected: fmt.Sprintf("a name of at most %d letters, digits, '-', '_' and '.'", maxNameLength)}
	}
	*n = Name(word)
	return nil
}

// UpstreamName is the full name of an upstream, "service/upstream".
type UpstreamName string

// Capture implements participle.Capture.
func (n *UpstreamName) Capture(words []string) error {
	service, upstream, found := strings.Cut(words[0], "/")
	if !found || !nameSyntax.MatchString(service) || !nameSyntax.MatchString(upstream) || len(words[0]) > 2*maxNameLength {
		return &ValueError{Found: words[0], Expected: "an upstream as service/upstream"}
	}
	*n = UpstreamName(words[0])
	return nil
}

// Pattern matches names: '*' matches any number of characters and '?' matches exactly
// one. Neither matches a '/'.
type Pattern string

// patternSyntax matches a valid pattern.
var patternSyntax = regexp.MustCompile(`^[A-Za-z0-9_.*?/-]+$`)

// Capture implements participle.Capture.
func (p *Pattern) Capture(words []string) error {
	if len(words[0]) > 2*maxNameLength || !patternSyntax.MatchString(words[0]) {
		return &ValueError{Found: words[0], Expected: "a name or a pattern such as counter-*"}
	}
	*p = Pattern(words[0])
	return nil
}

// UpstreamPattern is a pattern of full upstream names, "service/upstream".
type UpstreamPattern string

// Capture implements participle.Capture.
func (p *UpstreamPattern) Capture(words []string) error {
	var pattern Pattern
	if pattern.Capture(words) != nil || strings.Count(words[0], "/") != 1 {
		return &ValueError{Found: words[0], Expected: "an upstream or a pattern such as counter-1/*"}
	}
	*p = UpstreamPattern(pattern)
	return nil
}

// Address is an upstream's IP address and port.
type Address string

// Capture implements participle.Capture.
func (a *Address) Capture(words []string) error {
	host, port, err := net.SplitHostPort(words[0])
	number, portError := strconv.ParseUint(port, 10, 16)
	if err != nil || portError != nil || number == 0 || net.ParseIP(host) == nil {
		return &ValueError{Found: words[0], Expected: "an IP address with a port, such as 10.0.0.1:9001"}
	}
	*a = Address(words[0])
	return nil
}

// Duration is a duration such as 80ms or 1m30s.
type Duration time.Duration

// Capture implements participle.Capture.
func (d *Duration) Capture(words []string) error {
	parsed, err := time.ParseDuration(words[0])
	if err != nil || parsed < 0 || parsed > maxDuration {
		return &ValueError{Found: words[0], Expected: "a duration such as 80ms, 1.5s or 10m"}
	}
	*d = Duration(parsed)
	return nil
}

// String returns the value in the syntax of the language.
func (d Duration) String() string {
	return strings.Replace(time.Duration(d).String(), "µs", "us", 1)
}

// Percent is a percentage such as 5% or 0.5%.
type Percent model.Percent

// Capture implements participle.Capture.
func (p *Percent) Capture(words []string) error {
	number, found := strings.CutSuffix(words[0], "%")
	parsed, err := strconv.ParseFloat(number, 64)
	if !found || err != nil || math.IsNaN(parsed) || math.IsInf(parsed, 0) {
		return &ValueError{Found: words[0], Expected: "a percentage such as 5%"}
	}
	*p = Percent(parsed)
	return nil
}

// String returns the value in the syntax of the language.
func (p Percent) String() string { return strconv.FormatFloat(float64(p), 'f', -1, 64) + "%" }

// Count is a whole number up to maxCount.
type Count int

// Capture implements participle.Capture.
func (c *Count) Capture(words []string) error {
	parsed, err := strconv.ParseUint(words[0], 10, 32)
	if err != nil || parsed > maxCount {
		return &ValueError{Found: words[0], Expected: fmt.Sprintf("a whole number up to %d", maxCount)}
	}
	*c = Count(parsed)
	return nil
}

// Limit is a whole number from 1 to maxCount, or zero for "unlimited".
type Limit int

// Capture implements participle.Capture.
func (l *Limit) Capture(words []string) error {
	if strings.EqualFold(words[0], unlimited) {
		*l = 0
		return nil
	}
	var count Count
	if count.Capture(words) != nil || count == 0 {
		return &ValueError{Found: words[0], Expected: fmt.Sprintf("a whole number from 1 to %d, or unlimited", maxCount)}
	}
	*l = Limit(count)
	return nil
}

// String returns the value in the syntax of the language.
func (l Limit) String() string {
	if l == 0 {
		return unlimited
	}
	return strconv.Itoa(int(l))
}

// Rate is a number of requests per second, or zero for "unlimited".
type Rate float64

// Capture implements participle.Capture.
func (r *Rate) Capture(words []string) error {
	if strings.EqualFold(words[0], unlimited) {
		*r = 0
		return nil
	}
	parsed, err := strconv.ParseFloat(words[0], 64)
	if err != nil || !(parsed > 0 && parsed <= maxRate) {
		return &ValueError{Found: words[0], Expected: "a number of requests a second, or unlimited"}
	}
	*r = Rate(parsed)
	return nil
}

// String returns the value in the syntax of the language.
func (r Rate) String() string {
	if r == 0 {
		return unlimited
	}
	return strconv.FormatFloat(float64(r), 'f', -1, 64)
}

// YesNo is "yes" or "no".
type YesNo bool

// Capture implements participle.Capture.
func (y *YesNo) Capture(words []string) error {
	switch strings.ToLower(words[0]) {
	case "yes":
		*y = true
	case "no":
		*y = false
	default:
		return &ValueError{Found: words[0], Expected: "yes or no"}
	}
	return nil
}

// String returns the value in the syntax of the language.
func (y YesNo) String() string {
	if y {
		return "yes"
	}
	return "no"
}

// Fingerprint is the hexadecimal hash of a request's content.
type Fingerprint model.Fingerprint

// Capture implements participle.Capture.
func (f *Fingerprint) Capture(words []string) error {
	parsed, err := strconv.ParseUint(words[0], 16, 64)
	if err != nil {
		return &ValueError{Found: words[0], Expected: "a fingerprint of up to 16 hexadecimal digits"}
	}
	*f = Fingerprint(parsed)
	return nil
}

// String returns the value in the syntax of the language.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Time is a point in time, in nanoseconds since the Unix epoch. It is written in
// RFC 3339 format.
type Time model.Instant

// Capture implements participle.Capture.
func (t *Time) Capture(words []string) error {
	parsed, err := time.Parse(time.RFC3339Nano, words[0])
	if err != nil || parsed.Year() < 1971 || parsed.Year() > 2200 {
		return &ValueError{Found: words[0], Expected: "a time such as 2026-01-31T18:00:00Z"}
	}
	*t = Time(parsed.UnixNano())
	return nil
}

// String returns the value in the syntax of the language.
func (t Time) String() string {
	return time.Unix(0, int64(t)).UTC().Format(time.RFC3339Nano)
}

// Revision is the number of a configuration revision.
type Revision model.Revision

// Capture implements participle.Capture.
func (r *Revision) Capture(words []string) error {
	parsed, err := strconv.ParseUint(words[0], 10, 64)
	if err != nil || parsed == 0 {
		return &ValueError{Found: words[0], Expected: "the number of a revision"}
	}
	*r = Revision(parsed)
	return nil
}

// Column is the name of a table's column.
type Column string

// columnSyntax matches a valid column name.
var columnSyntax = regexp.MustCompile(`^[A-Za-z_]+$`)

// Capture implements participle.Capture.
func (c *Column) Capture(words []string) error {
	if !columnSyntax.MatchString(words[0]) {
		return &ValueError{Found: words[0], Expected: "the name of a column"}
	}
	*c = Column(words[0])
	return nil
}

// Value is a bare or quoted text, such as a key hash or the operand of a comparison.
type Value string

// Capture implements participle.Capture.
func (v *Value) Capture(words []string) error {
	if words[0] == invalidValue {
		return &ValueError{Found: words[0], Expected: "a value, in single quotes if it holds spaces"}
	}
	*v = Value(unquote(words[0]))
	return nil
}

// unquote removes the quotes of a quoted text.
func unquote(word string) string {
	if len(word) >= 2 && word[0] == '\'' {
		return word[1 : len(word)-1]
	}
	return word
}

// Match reports whether a name matches the pattern.
func (p Pattern) Match(name string) bool { return match(string(p), name) }

// IsName reports whether the pattern has no wildcards.
func (p Pattern) IsName() bool { return !strings.ContainsAny(string(p), "*?") }

// match matches without recursion: after a mismatch it backtracks to the last star
// and lets it match one more character.
func match(pattern, name string) bool {
	p, n := 0, 0
	star, resume := -1, 0
	for n < len(name) {
		switch {
		case p < len(pattern) && pattern[p] == '*':
			star, resume = p, n
			p++
		case p < len(pattern) && (pattern[p] == name[n] || pattern[p] == '?' && name[n] != '/'):
			p++
			n++
		case star >= 0 && name[resume] != '/':
			resume++
			p, n = star+1, resume
		default:
			return false
		}
	}
	for p < len(pattern) && pattern[p] == '*' {
		p++
	}
	return p == len(pattern)
}
