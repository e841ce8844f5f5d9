// Command hawthorntack is a query tier over many shards: the node that runs on
// every entry host, and the tools around it.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit codes of the command.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// UsageError reports a command line or a setting that cannot be used.
type UsageError struct {
	// Setting is the flag, such as "--listen-caller".
	Setting string
	Reason  string
}

// Error implements error.
func (e *UsageError) Error() string { return e.Setting + ": " + e.Reason }

// streams are the standard streams, so that subcommands do not reach for
// globals.
type streams struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}

func main() {
	os.Exit(run(os.Args[1:], streams{in: os.Stdin, out: os.Stdout, err: os.Stderr}))
}

// run parses the command line, runs the subcommand and returns the exit code.
func run(arguments []string, std streams) int {
	parser := flags.NewNamedParser("hawthorntack", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "A query tier over many shards. Every flag can also be set by the environment variable that its help names."
	for _, add := range []func(*flags.Parser, streams) error{
		addNode,
		addEdge,
		addDemo,
		addDump,
		addLoad,
		addExperiment,
		addVersion,
		addCtl,
		addCheck,
	} {
		if err := add(parser, std); err != nil {
			fmt.Fprintln(std.err, err)
			return exitFailed
		}
	}
	_, err := parser.ParseArgs(arguments)
	return exitCode(err, std)
}

// exitCode reports an error and maps it to an exit code.
func exitCode(err error, std streams) int {
	if err == nil {
		return exitDone
	}
	var parse *flags.Error
	if errors.As(err, &parse) {
		if parse.Type == flags.ErrHelp {
			fmt.Fprintln(std.out, parse.Message)
			return exitDone
		}
		fmt.Fprintln(std.err, parse.Message)
		return exitUsage
	}
	fmt.Fprintln(std.err, err)
	var usage *UsageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailed
}
