package outcome

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// allStatuses lists the statuses that a dispatcher may report.
var allStatuses = []message.DispatchStatus{
	message.StatusAnswered, message.StatusRefused, message.StatusVersionGone, message.StatusFailed,
	message.StatusLost, message.StatusCancelled, message.StatusNotOwner,
}

// TestNotRunNeedsProof checks that a request counts as not run only if every
// recorded attempt got a status that proves it.
func TestNotRunNeedsProof(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ledger Ledger
		open, proven := 0, true
		for range rapid.IntRange(0, 12).Draw(t, "steps") {
			if open == 0 || rapid.Bool().Draw(t, "attempt") {
				ledger.RecordAttempt()
				open++
				continue
			}
			open--
			if rapid.Bool().Draw(t, "lost") {
				ledger.MarkLost()
				proven = false
				continue
			}
			status := rapid.SampledFrom(allStatuses).Draw(t, "status")
			ledger.RecordResult(status)
			proven = proven && status.NotRun()
		}
		want := model.Unknown
		if open == 0 && proven {
			want = model.NotRun
		}
		if got := ledger.End(Reason{}).Outcome; got != want {
			t.Fatalf("got %s, want %s", got, want)
		}
	})
}

// TestUnexpectedResultProvesNothing checks that a result for an attempt that was
// never recorded does not make the request count as not run.
func TestUnexpectedResultProvesNothing(t *testing.T) {
	var ledger Ledger
	ledger.RecordResult(message.StatusRefused)
	if got := ledger.End(Reason{}).Outcome; got != model.Unknown {
		t.Fatalf("got %s", got)
	}
}

// TestOnlyLedgerBuildsNotRun checks that no package of the reducer builds the
// outcome "not run" without a ledger. Comparing with it is allowed.
func TestOnlyLedgerBuildsNotRun(t *testing.T) {
	root := filepath.Join("..", "..")
	err := filepath.WalkDir(filepath.Join(root, "internal", "reducer"), func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			field, ok := n.(*ast.KeyValueExpr)
			if ok && isNotRun(field.Value) {
				t.Errorf("%s builds model.NotRun without a ledger", path)
			}
			assign, ok := n.(*ast.AssignStmt)
			if ok {
				for _, value := range assign.Rhs {
					if isNotRun(value) {
						t.Errorf("%s assigns model.NotRun without a ledger", path)
					}
				}
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// isNotRun reports whether an expression is model.NotRun.
func isNotRun(e ast.Expr) bool {
	selector, ok := e.(*ast.SelectorExpr)
	if !ok || selector.Sel.Name != "NotRun" {
		return false
	}
	name, ok := selector.X.(*ast.Ident)
	return ok && name.Name == "model"
}
