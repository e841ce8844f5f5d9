package statement

import (
	"strings"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Touches reports whether a change may have changed a service: its names and
// patterns are looked at, its conditions are not.
func Touches(change Change, service model.ServiceName) bool {
	pattern, ok := servicesOf(change)
	return ok && pattern.Match(string(service))
}

// servicesOf returns the pattern of the services that a change is about, and
// false for one that is about none.
func servicesOf(change Change) (Pattern, bool) {
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
		return serviceOf(c.Pattern), true
	case *DropUpstream:
		return serviceOf(c.Pattern), true
	case *Drain:
		if c.Host != nil {
			return "", false
		}
		return serviceOf(*c.Upstream), true
	case *Convict:
		return Pattern(c.Service), true
	case *Pardon:
		return Pattern(c.Service), true
	default:
		return "", false
	}
}

// serviceOf returns the service part of a pattern of upstreams.
func serviceOf(pattern UpstreamPattern) Pattern {
	service, _, _ := strings.Cut(string(pattern), "/")
	return Pattern(service)
}

// summaryLength bounds a summary, in bytes.
const summaryLength = 200

// Summary returns the beginning of a text on one line, without the hashes of
// keys.
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
			if length > summaryLength {
				return strings.Join(append(words, "..."), " ")
			}
		}
	}
	return strings.Join(words, " ")
}
