package statement

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/rogpeppe/go-internal/diff"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Diff returns the lines that differ between two configurations, grouped by object,
// or an empty string if there is no difference. Key hashes are not shown.
func Diff(before, after *model.Config) string {
	old := printObjects(before, printOperatorName)
	remaining := make(map[string]string, len(old))
	for _, o := range old {
		remaining[o.key] = o.text
	}
	var text strings.Builder
	changed := printObjects(after, printOperatorName)
	for _, o := range changed {
		previous, existed := remaining[o.key]
		delete(remaining, o.key)
		switch {
		case !existed:
			writeLines(&text, "+", o.text)
		case previous != o.text:
			writeChange(&text, o.key, previous, o.text)
		}
	}
	for _, o := range old {
		if _, removed := remaining[o.key]; removed {
			writeLines(&text, "-", o.text)
		}
	}
	return text.String()
}

// writeLines writes each line with a prefix.
func writeLines(text *strings.Builder, prefix, lines string) {
	for _, line := range strings.Split(strings.TrimSuffix(lines, "\n"), "\n") {
		fmt.Fprintf(text, "%s %s\n", prefix, line)
	}
}

// writeChange writes the key of an object, followed by the lines that differ between
// its two forms.
func writeChange(text *strings.Builder, key, before, after string) {
	fmt.Fprintf(text, "  %s\n", key)
	unified := string(diff.Diff("before", []byte(before), "after", []byte(after)))
	for _, line := range strings.Split(unified, "\n") {
		isHeader := strings.HasPrefix(line, "--- ") || strings.HasPrefix(line, "+++ ")
		if isHeader || line == "" || line[0] != '-' && line[0] != '+' {
			continue
		}
		fmt.Fprintf(text, "%c %s\n", line[0], line[1:])
	}
}

// keyDigest returns a 32-bit digest of a key hash. A changed digest shows that the key
// was rotated without revealing the hash.
func keyDigest(hash string) string { return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(hash))) }
