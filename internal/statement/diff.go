package statement

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/rogpeppe/go-internal/diff"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Diff returns the lines that differ between two configurations, object by
// object; empty when there is no difference. Key hashes are not shown.
func Diff(before, after *model.Config) string {
	old := blocks(before, printOperatorName)
	remaining := make(map[string]string, len(old))
	for _, b := range old {
		remaining[b.key] = b.text
	}
	var text strings.Builder
	changed := blocks(after, printOperatorName)
	for _, b := range changed {
		was, existed := remaining[b.key]
		delete(remaining, b.key)
		switch {
		case !existed:
			writeLines(&text, "+", b.text)
		case was != b.text:
			writeChange(&text, b.key, was, b.text)
		}
	}
	for _, b := range old {
		if _, gone := remaining[b.key]; gone {
			writeLines(&text, "-", b.text)
		}
	}
	return text.String()
}

// writeLines writes each line with a mark before it.
func writeLines(text *strings.Builder, mark, lines string) {
	for _, line := range strings.Split(strings.TrimSuffix(lines, "\n"), "\n") {
		fmt.Fprintf(text, "%s %s\n", mark, line)
	}
}

// writeChange writes the lines that differ between two forms of an object under
// its name.
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

// keyMark returns a short mark that changes with a key hash and tells nothing of
// it.
func keyMark(hash string) string { return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(hash))) }
