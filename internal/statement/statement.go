// Package statement implements the operators' configuration language: parsing,
// validation, printing and the application of changes to a configuration. Its
// functions are pure.
package statement

import "github.com/hawthorntack/hawthorntack/internal/model"

// Script is a parsed text. It holds either changes or questions, never both.
type Script struct {
	Changes   []Change
	Questions []Question
	// Base is the revision that the operator based the changes on ("if revision
	// N"); zero means any.
	Base model.Revision
}

// Change is one statement that changes the configuration.
type Change interface{ isChange() }

// Question is one read-only statement: show or explain.
type Question interface{ isQuestion() }

// Parse parses a text. The failure is the first syntax problem, with its line, its
// column and what was expected.
func Parse(text string) (Script, *model.Failure) {
	script, problems := ParseAll(text)
	if len(problems) > 0 {
		return Script{}, problems[0].Failure()
	}
	return script, nil
}

// Apply returns the configuration after the changes; the given one is not modified.
// The revision stays the same. The failure is the first problem of the changes, such
// as one that would leave a service without active upstreams.
func Apply(config *model.Config, changes []Change) (*model.Config, *model.Failure) {
	changed, problems := ApplyAll(config, changes)
	if len(problems) > 0 {
		return nil, problems[0].Failure()
	}
	return changed, nil
}
