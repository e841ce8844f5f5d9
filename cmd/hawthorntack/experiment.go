package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"

	"github.com/hawthorntack/hawthorntack/internal/experiment"
)

// experimentCommand runs the project's measurements.
type experimentCommand struct {
	std streams

	Seed uint64 `long:"seed" env:"HAWTHORNTACK_SEED" default:"1" description:"Seed of the experiment"`
	Args struct {
		Name string `positional-arg-name:"NAME" description:"Experiment to run; without a name, all are listed"`
	} `positional-args:"yes"`
}

// addExperiment adds the experiment subcommand.
func addExperiment(parser *flags.Parser, std streams) error {
	_, err := parser.AddCommand("experiment", "Measure a policy against its baseline", "Runs one of the project's measurements and prints its table, or lists them.", &experimentCommand{std: std})
	return err
}

// Execute implements flags.Commander.
func (c *experimentCommand) Execute([]string) error {
	if c.Args.Name == "" {
		return c.list()
	}
	e, ok := experiment.ByName(c.Args.Name)
	if !ok {
		return &UsageError{Setting: "NAME", Reason: "unknown experiment " + c.Args.Name}
	}
	report, err := e.Run(c.Seed)
	if err != nil {
		return fmt.Errorf("experiment %s: %w", e.Name, err)
	}
	fmt.Fprintf(c.std.out, "%s (seed %d): %s\n\n", e.Name, c.Seed, e.Summary)
	return printExperiment(c.std.out, report)
}

// list prints the names of all experiments.
func (c *experimentCommand) list() error {
	table := tabwriter.NewWriter(c.std.out, 0, 0, 2, ' ', 0)
	for _, e := range experiment.All() {
		fmt.Fprintf(table, "%s\t%s\n", e.Name, e.Summary)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("print experiments: %w", err)
	}
	return nil
}

// printExperiment prints a report, as used in docs/MEASUREMENTS.md: an aligned table
// with bars between the columns, followed by the notes as a list.
func printExperiment(out io.Writer, report experiment.Report) error {
	table := tabwriter.NewWriter(out, 0, 0, 1, ' ', tabwriter.Debug)
	fmt.Fprintln(table, strings.Join(report.Columns, "\t"))
	for _, row := range report.Rows {
		fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("print report: %w", err)
	}
	for _, note := range report.Notes {
		fmt.Fprintln(out, "- "+note)
	}
	return nil
}
