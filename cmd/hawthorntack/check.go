package main

import (
	"fmt"

	"github.com/jessevdk/go-flags"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/statement"
)

// checkCommand validates files of statements without a node.
type checkCommand struct {
	std streams

	Positional struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"files of statements; - is standard input"`
	} `positional-args:"yes"`
	Base string `long:"base" env:"HAWTHORNTACK_CHECK_BASE" value-name:"FILE" description:"file of statements that make the configuration to start from; empty without it"`
}

// addCheck adds the check subcommand.
func addCheck(parser *flags.Parser, std streams) error {
	_, err := parser.AddCommand("check", "Validate files of statements",
		"Validates files of statements without a node and names every error with its place. Each file is one atomic change.",
		&checkCommand{std: std})
	return err
}

// CheckError reports the number of problems in the checked files.
type CheckError struct {
	Problems int
}

// Error implements error.
func (e *CheckError) Error() string { return fmt.Sprintf("%d problems found", e.Problems) }

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	config := &model.Config{}
	total := 0
	files := c.Positional.Files
	if c.Base != "" {
		files = append([]string{c.Base}, files...)
	}
	for _, name := range files {
		text, err := c.read(name)
		if err != nil {
			return err
		}
		changed, problems := checkText(config, text)
		for _, problem := range problems {
			fmt.Fprintf(c.std.out, "%s: %s\n", name, problem.Error())
		}
		total += len(problems)
		if len(problems) == 0 {
			config = changed
		}
	}
	if total > 0 {
		return &CheckError{Problems: total}
	}
	fmt.Fprintf(c.std.out, "ok: %d users, %d services, %d operators\n", len(config.Users), len(config.Services), len(config.Operators))
	return nil
}

// read reads one file.
func (c *checkCommand) read(name string) (string, error) {
	if name == "-" {
		return readAll(c.std.in, "standard input")
	}
	return readFile(name)
}

// checkText applies a text to a configuration and returns all problems.
func checkText(config *model.Config, text string) (*model.Config, []*statement.Problem) {
	script, problems := statement.ParseAll(text)
	if len(problems) > 0 {
		return nil, problems
	}
	return statement.ApplyAll(config, script.Changes)
}
