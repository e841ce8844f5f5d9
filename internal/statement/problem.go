package statement

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Position is a line and a column of a text, both counted from one. The zero value
// means that there is no position.
type Position struct {
	Line   int `json:"line"`
	Column int `json:"column"`
}

// position converts the lexer's position.
func position(p lexer.Position) Position { return Position{Line: p.Line, Column: p.Column} }

// String returns the position in the form "line 3, column 7".
func (p Position) String() string { return fmt.Sprintf("line %d, column %d", p.Line, p.Column) }

// Rule identifies the rule that a text violates.
type Rule string

// The rules. RuleSyntax, RuleMixed and RuleSize apply to the text itself, the others
// to its changes.
const (
	RuleSyntax           Rule = "syntax"
	RuleUnknown          Rule = "unknown_name"
	RuleDuplicate        Rule = "duplicate_name"
	RuleDuplicateAddress Rule = "duplicate_address"
	RuleNoUpstreams      Rule = "no_upstreams"
	RuleNoActive         Rule = "no_active_upstreams"
	RuleDeadline         Rule = "impossible_deadline"
	RuleCoverage         Rule = "coverage_out_of_range"
	RuleBudget           Rule = "budget_out_of_range"
	RuleHedge            Rule = "hedge_without_repeat"
	RuleQueue            Rule = "queue_out_of_range"
	RuleSlots            Rule = "slots_out_of_range"
	RuleMissing          Rule = "missing_option"
	RuleWeight           Rule = "weight_out_of_range"
	RuleInUse            Rule = "in_use"
	RuleKeyHash          Rule = "key_hash"
	RuleLockout          Rule = "lockout"
	RuleForbidden        Rule = "forbidden"
	RuleMixed            Rule = "mixed_statements"
	RuleSize             Rule = "size"
)

// isStructural reports whether a change that violates the rule cannot be carried out
// at all. Replay checks these rules only, so no release may change them.
func (r Rule) isStructural() bool {
	return r == RuleUnknown || r == RuleDuplicate
}

// Problem is an error in a text and its position.
type Problem struct {
	Position Position `json:"position"`
	Rule     Rule     `json:"rule"`
	// Found and Expected describe a syntax problem.
	Found    string `json:"found,omitempty"`
	Expected string `json:"expected,omitempty"`
	// Detail describes any other problem.
	Detail string `json:"detail,omitempty"`
}

// Error implements error.
func (p *Problem) Error() string {
	var text strings.Builder
	if p.Position != (Position{}) {
		fmt.Fprintf(&text, "%s: ", p.Position)
	}
	if p.Detail != "" {
		fmt.Fprintf(&text, "%s: %s", p.Rule, p.Detail)
		return text.String()
	}
	fmt.Fprintf(&text, "found %s", p.Found)
	if p.Expected != "" {
		fmt.Fprintf(&text, ", expected %s", p.Expected)
	}
	return text.String()
}

// Failure converts the problem to a failure of the operators' API: CodeForbidden for
// RuleForbidden, else CodeInvalid.
func (p *Problem) Failure() *model.Failure {
	code := model.CodeInvalid
	if p.Rule == RuleForbidden {
		code = model.CodeForbidden
	}
	return model.Failf(code, "%s", p.Error())
}

// syntaxProblem converts a parser error for a statement's tokens.
func syntaxProblem(err error, tokens []lexer.Token) *Problem {
	problem := &Problem{Rule: RuleSyntax, Found: err.Error()}
	var located participle.Error
	if !errors.As(err, &located) {
		return problem
	}
	problem.Position = position(located.Position())
	problem.Found = located.Message()
	var value *ValueError
	var unexpected *participle.UnexpectedTokenError
	switch {
	case errors.As(err, &value):
		problem.Found = strconv.Quote(value.Found)
		problem.Expected = value.Expected
	case errors.As(err, &unexpected):
		problem.Found = describeToken(unexpected.Unexpected)
		problem.Expected = describeExpected(tokens, unexpected.Unexpected.Pos)
	}
	return problem
}

// describeToken describes a token in a message.
func describeToken(token lexer.Token) string {
	if token.EOF() {
		return "the end of the statement"
	}
	return strconv.Quote(token.Value)
}
