package main

import (
	"fmt"

	"github.com/jessevdk/go-flags"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/statement"
	"github.com/hawthorntack/hawthorntack/platform"
)

// checkCommand validates files of statements, settings and routes without a node.
type checkCommand struct {
	std streams

	Positional struct {
		Files []string `positional-arg-name:"FILE" description:"files of statements; - is standard input"`
	} `positional-args:"yes"`
	Settings string `long:"settings" env:"HAWTHORNTACK_CHECK_SETTINGS" value-name:"FILE" description:"settings file of a node on the platform"`
	Routes   string `long:"routes" env:"HAWTHORNTACK_CHECK_ROUTES" value-name:"FILE" description:"configuration of the platform's operators, in the form that the platform's store holds"`
	Base     string `long:"base" env:"HAWTHORNTACK_CHECK_BASE" value-name:"FILE" description:"file of statements that create the base configuration, which is empty by default"`
}

// addCheck adds the check subcommand.
func addCheck(parser *flags.Parser, std streams) error {
	_, err := parser.AddCommand("check", "Validate files of statements, settings and routes",
		"Validates files without a node and reports every error with its position. Each file of statements is one atomic change.",
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
	if len(c.Positional.Files) == 0 && c.Settings == "" && c.Routes == "" {
		return &UsageError{Setting: "FILE", Reason: "no files, settings or routes to check"}
	}
	total := 0
	for _, check := range []func() (int, error){c.checkSettings, c.checkRoutes, c.checkStatements} {
		problems, err := check()
		if err != nil {
			return err
		}
		total += problems
	}
	if total > 0 {
		return &CheckError{Problems: total}
	}
	return nil
}

// checkSettings checks a node's settings file and returns the number of problems.
func (c *checkCommand) checkSettings() (int, error) {
	if c.Settings == "" {
		return 0, nil
	}
	settings, err := platform.ReadSettings(c.Settings)
	if err == nil {
		fmt.Fprintf(c.std.out, "ok: settings of %s in %s\n", settings.Host, settings.FailureDomain)
		return 0, nil
	}
	return c.report(err), nil
}

// report prints an error, or each error of a joined one, and returns their number.
func (c *checkCommand) report(err error) int {
	joined, isJoined := err.(interface{ Unwrap() []error })
	if !isJoined {
		fmt.Fprintln(c.std.out, err)
		return 1
	}
	for _, problem := range joined.Unwrap() {
		fmt.Fprintln(c.std.out, problem)
	}
	return len(joined.Unwrap())
}

// checkRoutes checks the platform operators' configuration and returns the number of
// problems.
func (c *checkCommand) checkRoutes() (int, error) {
	if c.Routes == "" {
		return 0, nil
	}
	text, err := c.read(c.Routes)
	if err != nil {
		return 0, err
	}
	table, err := platform.DecodeRoutes([]byte(text))
	if err != nil {
		return c.report(err), nil
	}
	problems := table.Validate()
	for _, problem := range problems {
		fmt.Fprintf(c.std.out, "%s: %v\n", c.Routes, problem)
	}
	if len(problems) == 0 {
		fmt.Fprintf(c.std.out, "ok: version %d with %d routes\n", table.Version, len(table.Routes))
	}
	return len(problems), nil
}

// checkStatements applies the files of statements in order, starting from the base
// configuration, and returns the number of problems. A file with problems changes
// nothing.
func (c *checkCommand) checkStatements() (int, error) {
	if len(c.Positional.Files) == 0 {
		return 0, nil
	}
	config := &model.Config{}
	total := 0
	files := c.Positional.Files
	if c.Base != "" {
		files = append([]string{c.Base}, files...)
	}
	for _, name := range files {
		text, err := c.read(name)
		if err != nil {
			return 0, err
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
	if total == 0 {
		fmt.Fprintf(c.std.out, "ok: %d users, %d services, %d operators\n", len(config.Users), len(config.Services), len(config.Operators))
	}
	return total, nil
}

// read reads one file, or standard input for "-".
func (c *checkCommand) read(name string) (string, error) {
	if name == "-" {
		return readAll(c.std.in, "standard input")
	}
	return readFile(name)
}

// checkText returns the configuration after the changes of a text, or its problems.
func checkText(config *model.Config, text string) (*model.Config, []*statement.Problem) {
	script, problems := statement.ParseAll(text)
	if len(problems) > 0 {
		return nil, problems
	}
	return statement.ApplyAll(config, script.Changes)
}
