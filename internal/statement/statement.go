// Package statement is the operators' language: its grammar, checking, printing
// and the meaning of its changes. All of it is pure.
package statement

import "github.com/hawthorntack/hawthorntack/internal/model"

// Script is a parsed text: changes or questions, never both.
type Script struct {
	Changes   []Change
	Questions []Question
	// Base is the revision that the operator based the changes on ("if revision
	// N"); zero means any.
	Base model.Revision
}

// Change is one statement that changes the configuration.
type Change interface{ isChange() }

// Question is one statement that shows something.
type Question interface{ isQuestion() }

// Parse reads a text. The failure names line, column and what was expected.
func Parse(text string) (Script, *model.Failure) {
	script, problems := ParseAll(text)
	if len(problems) > 0 {
		return Script{}, problems[0].Failure()
	}
	return script, nil
}

// Apply returns the configuration after the changes; it leaves the given one as
// it is. The revision is not changed. A change that would break a service is a
// failure.
func Apply(config *model.Config, changes []Change) (*model.Config, *model.Failure) {
	changed, problems := ApplyAll(config, changes)
	if len(problems) > 0 {
		return nil, problems[0].Failure()
	}
	return changed, nil
}
