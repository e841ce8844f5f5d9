package metrics

import (
	"context"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/hawthorntack/hawthorntack/internal/reducer/quota"
)

// emptyDump is a node whose state dump is empty.
type emptyDump struct{}

func (emptyDump) Dump(context.Context) ([]byte, error) { return []byte("{}"), nil }

// TestDefinitionsAreComplete checks that every effect.Metric constant of the reducer has
// a definition, and that every definition has such a constant.
func TestDefinitionsAreComplete(t *testing.T) {
	var defined []string
	for _, d := range Definitions() {
		defined = append(defined, string(d.Metric))
	}
	declared := declaredMetrics(t, "../reducer")
	for _, name := range declared {
		if !slices.Contains(defined, name) {
			t.Errorf("metric %s of the reducer is missing in definitions.go and docs/METRICS.md", name)
		}
	}
	for _, name := range defined {
		if !slices.Contains(declared, name) {
			t.Errorf("definition %s has no effect.Metric constant in the reducer", name)
		}
	}
}

// declaredMetrics returns the values of the constants of type effect.Metric in the Go
// files below a directory, tests excepted.
func declaredMetrics(t *testing.T, root string) []string {
	t.Helper()
	var names []string
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			names = append(names, metricValues(n)...)
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}

// metricValues returns the values of a constant declaration of type
// effect.Metric.
func metricValues(n ast.Node) []string {
	spec, ok := n.(*ast.ValueSpec)
	if !ok {
		return nil
	}
	selector, ok := spec.Type.(*ast.SelectorExpr)
	if !ok || selector.Sel.Name != "Metric" {
		return nil
	}
	var values []string
	for _, v := range spec.Values {
		literal, ok := v.(*ast.BasicLit)
		if !ok {
			continue
		}
		if value, err := strconv.Unquote(literal.Value); err == nil {
			values = append(values, value)
		}
	}
	return values
}

// TestDocumentedMetrics checks that docs/METRICS.md names all registered metrics and no
// others.
func TestDocumentedMetrics(t *testing.T) {
	registry := prometheus.NewRegistry()
	NewObserver(registry)
	NewGauges(registry, emptyDump{})
	NewRefusals(registry)
	NewClients(registry, func() []quota.Usage { return nil })
	page, err := os.ReadFile("../../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	documented := regexp.MustCompile("`(hawthorntack_[a-z_]+)`").FindAllStringSubmatch(string(page), -1)
	var names []string
	for _, match := range documented {
		names = append(names, match[1])
	}
	described := make(chan *prometheus.Desc)
	go func() {
		registry.Describe(described)
		close(described)
	}()
	var registered []string
	for d := range described {
		registered = append(registered, regexp.MustCompile(`fqName: "([^"]+)"`).FindStringSubmatch(d.String())[1])
	}
	for _, name := range registered {
		if !slices.Contains(names, name) {
			t.Errorf("docs/METRICS.md does not name %s", name)
		}
	}
	for _, name := range names {
		if !slices.Contains(registered, name) {
			t.Errorf("docs/METRICS.md names %s, which is not registered", name)
		}
	}
}
