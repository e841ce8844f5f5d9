package statement

import (
	"strings"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// MayAffect reports whether a change may affect a service. It compares the change's
// names and patterns and ignores its conditions.
func MayAffect(change Change, service model.ServiceName) bool {
	pattern, ok := servicePattern(change)
	return ok && pattern.Match(string(service))
}

// servicePattern returns the pattern of the services to which a change applies, and
// false if it applies to no services.
func servicePattern(change Change) (Pattern, bool) {
	switch c := change.(type) {
	case *CreateService:
		return Pattern(c.Name), true
	case *AlterService:
		return c.Pattern, true
	case *DropService:
		return c.Pattern, true
	case *CreateUpstream:
		return Pattern(model.UpstreamID(c.Name).Service()), true
	case *AlterUpstream:
		return servicePart(c.Pattern), true
	case *DropUpstream:
		return servicePart(c.Pattern), true
	case *Drain:
		if c.Host != nil {
			return "", false
		}
		return servicePart(*c.Upstream), true
	case *Convict:
		return Pattern(c.Service), true
	case *Pardon:
		return Pattern(c.Service), true
	default:
		return "", false
	}
}

// servicePart returns the service part of an upstream pattern.
func servicePart(pattern UpstreamPattern) Pattern {
	service, _, _ := strings.Cut(string(pattern), "/")
	return Pattern(service)
}

// maxSummaryLength is the length in bytes after which a summary is truncated.
const maxSummaryLength = 200

// Summary returns the beginning of a text on one line, with key hashes elided.
func Summary(text string) string {
	statements, err := split(text)
	if err != nil {
		return ""
	}
	var words []string
	length := 0
	for i, tokens := range statements {
		if i > 0 {
			words[len(words)-1] += ";"
		}
		for _, token := range tokens[:len(tokens)-1] {
			word := token.Value
			if strings.HasPrefix(word, "'$2") {
				word = "'...'"
			}
			words = append(words, word)
			length += len(word) + 1
			if length > maxSummaryLength {
				return strings.Join(append(words, "..."), " ")
			}
		}
	}
	return strings.Join(words, " ")
}
