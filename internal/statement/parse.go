package statement

import (
	"github.com/alecthomas/participle/v2/lexer"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Limits of a text and its problems.
const (
	// maxTextLength bounds a text, in bytes: it leaves room for the whole
	// configuration of many thousands of upstreams. The administration API and
	// the configuration log have lower bounds of their own.
	maxTextLength = 32 << 20
	// maxProblems bounds the problems that are reported of one text.
	maxProblems = 100
)

// ParseAll parses a text and reports all syntax problems by position, at most
// maxProblems.
func ParseAll(text string) (Script, []*Problem) {
	if len(text) > maxTextLength {
		return Script{}, []*Problem{{Rule: RuleSize, Detail: "the text is longer than 32 MiB"}}
	}
	statements, err := split(text)
	if err != nil {
		return Script{}, []*Problem{syntaxProblem(err, nil)}
	}
	if len(statements) == 0 {
		return Script{}, []*Problem{{Rule: RuleSyntax, Position: Position{Line: 1, Column: 1}, Found: "no statement", Expected: "create, alter, drop, drain, undrain, rotate, convict, pardon, show or explain"}}
	}
	var script Script
	var problems []*Problem
	for _, tokens := range statements {
		problem := script.parseStatement(tokens)
		if problem != nil && len(problems) < maxProblems {
			problems = append(problems, problem)
		}
	}
	return script, problems
}

// parseStatement parses one statement and adds it to the script.
func (s *Script) parseStatement(tokens []lexer.Token) *Problem {
	peeking, err := lexer.Upgrade(&tokenList{tokens: tokens})
	if err != nil {
		return syntaxProblem(err, tokens)
	}
	parsed, err := parser.ParseFromLexer(peeking)
	if err != nil {
		return syntaxProblem(err, tokens)
	}
	return s.add(parsed)
}

// add adds a parsed statement to the script.
func (s *Script) add(parsed *statement) *Problem {
	if change := parsed.change(); change != nil {
		s.Changes = append(s.Changes, change)
	} else {
		s.Questions = append(s.Questions, parsed.question())
	}
	if len(s.Changes) > 0 && len(s.Questions) > 0 {
		return &Problem{Rule: RuleMixed, Position: position(parsed.Pos), Detail: "changes cannot be mixed with show or explain statements in one text"}
	}
	base := model.Revision(parsed.Base)
	if base != 0 && s.Base != 0 && base != s.Base {
		return &Problem{Rule: RuleMixed, Position: position(parsed.Pos), Detail: "all statements of one text must name the same base revision"}
	}
	if base != 0 {
		s.Base = base
	}
	return nil
}

// change returns the statement's change, or nil for a question.
func (s *statement) change() Change {
	switch {
	case s.Create != nil:
		return s.Create.change()
	case s.Alter != nil:
		return s.Alter.change()
	case s.Drop != nil:
		return s.Drop.change()
	case s.Drain != nil:
		return s.Drain
	case s.Undrain != nil:
		s.Undrain.Undrain = true
		return s.Undrain
	case s.Rotate != nil:
		return s.Rotate
	case s.Convict != nil:
		return s.Convict
	case s.Pardon != nil:
		return s.Pardon
	default:
		return nil
	}
}

// question returns the statement's question; the statement must not be a change.
func (s *statement) question() Question {
	if s.Show != nil {
		return s.Show
	}
	return s.Explain
}

// change returns the create statement.
func (c *create) change() Change {
	switch {
	case c.User != nil:
		return c.User
	case c.Service != nil:
		return c.Service
	case c.Upstream != nil:
		return c.Upstream
	default:
		return c.Operator
	}
}

// change returns the alter statement.
func (a *alter) change() Change {
	switch {
	case a.User != nil:
		return a.User
	case a.Service != nil:
		return a.Service
	default:
		return a.Upstream
	}
}

// change returns the drop statement.
func (d *drop) change() Change {
	switch {
	case d.User != nil:
		return d.User
	case d.Service != nil:
		return d.Service
	case d.Upstream != nil:
		return d.Upstream
	default:
		return d.Operator
	}
}
