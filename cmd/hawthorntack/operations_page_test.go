package main

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// TestOperationsPage checks that every log line and every component in the table of
// docs/OPERATIONS.md occurs in the sources.
func TestOperationsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	sources := readSources(t, "../../internal/reducer", "../../internal/model", "../../internal/guard")
	row := regexp.MustCompile("(?m)^\\| `([a-z]+)` \\| (`[^|]*`) \\|")
	// The first row is the table's header.
	rows := row.FindAllStringSubmatch(string(page), -1)[1:]
	if len(rows) < 10 {
		t.Fatalf("%d rows of log lines, want at least 10", len(rows))
	}
	for _, found := range rows {
		if !strings.Contains(sources, `component = "`+found[1]+`"`) {
			t.Errorf("component %q does not occur in the sources", found[1])
		}
		for _, name := range regexp.MustCompile("`([^`]+)`").FindAllStringSubmatch(found[2], -1) {
			if !strings.Contains(sources, `"`+name[1]+`"`) {
				t.Errorf("log line %q does not occur in the sources", name[1])
			}
		}
	}
}

// readSources returns the contents of all Go files below folders, except tests.
func readSources(t *testing.T, folders ...string) string {
	t.Helper()
	var all strings.Builder
	for _, folder := range folders {
		err := filepath.WalkDir(folder, func(path string, entry os.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			content, err := os.ReadFile(path)
			all.Write(content)
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return all.String()
}
