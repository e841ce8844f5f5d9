package statement

import (
	"github.com/alecthomas/participle/v2/lexer"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Limits of a text.
const (
	// maxTextLength bounds a text, in bytes: it leaves room for the whole
	// configuration of many thousands of upstreams. The administration API and
	// the configuration log have lower bounds of their own.
	maxTextLength = 32 << 20
	// maxProblems bounds what is reported of one text.
	maxProblems = 100
)

// ParseAll reads a text and reports all syntax problems, ordered by place.
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
		problem := script.read(tokens)
		if problem != nil && len(problems) < maxProblems {
			problems = append(problems, problem)
		}
	}
	return script, problems
}

// read reads one statement into the script.
func (s *Script) read(tokens []lexer.Token) *Problem {
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

// add adds a statement to the script.
func (s *Script) add(l *line) *Problem {
	if change := l.change(); change != nil {
		s.Changes = append(s.Changes, change)
	} else {
		s.Questions = append(s.Questions, l.question())
	}
	if len(s.Changes) > 0 && len(s.Questions) > 0 {
		return &Problem{Rule: RuleMixed, Position: position(l.Pos), Detail: "one text either changes or shows, not both"}
	}
	base := model.Revision(l.Base)
	if base != 0 && s.Base != 0 && base != s.Base {
		return &Problem{Rule: RuleMixed, Position: position(l.Pos), Detail: "one text is based on one revision"}
	}
	if base != 0 {
		s.Base = base
	}
	return nil
}

// change returns the statement's change, or nil.
func (l *line) change() Change {
	switch {
	case l.Create != nil:
		return l.Create.change()
	case l.Alter != nil:
		return l.Alter.change()
	case l.Drop != nil:
		return l.Drop.change()
	case l.Drain != nil:
		return l.Drain
	case l.Undrain != nil:
		l.Undrain.Lift = true
		return l.Undrain
	case l.Rotate != nil:
		return l.Rotate
	case l.Convict != nil:
		return l.Convict
	case l.Pardon != nil:
		return l.Pardon
	default:
		return nil
	}
}

// question returns the statement's question.
func (l *line) question() Question {
	if l.Show != nil {
		return l.Show
	}
	return l.Explain
}

// change returns what is created.
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

// change returns what is altered.
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

// change returns what is dropped.
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
