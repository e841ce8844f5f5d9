// Command hawthorntack runs a node of the query tier, which runs on every entry host,
// and the tools for operating and measuring it.
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

// UsageError reports an invalid command line or setting.
type UsageError struct {
	// Setting is the flag or the argument, such as "--listen-caller".
	Setting string
	Reason  string
}

// Error implements error.
func (e *UsageError) Error() string { return e.Setting + ": " + e.Reason }

// streams holds the standard streams. Subcommands use these instead of the globals of
// package os.
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

// exitCode prints an error, or the requested help, and returns the exit code.
func exitCode(err error, std streams) int {
	if err == nil {
		return exitDone
	}
	var parseError *flags.Error
	if errors.As(err, &parseError) {
		if parseError.Type == flags.ErrHelp {
			fmt.Fprintln(std.out, parseError.Message)
			return exitDone
		}
		fmt.Fprintln(std.err, parseError.Message)
		return exitUsage
	}
	fmt.Fprintln(std.err, err)
	var usageError *UsageError
	if errors.As(err, &usageError) {
		return exitUsage
	}
	return exitFailed
}
