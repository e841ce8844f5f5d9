package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/mattn/go-isatty"

	"github.com/hawthorntack/hawthorntack/internal/api"
	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// ctlCommand runs operators' statements on a node.
type ctlCommand struct {
	std streams

	adminSettings
	Statements string        `short:"e" long:"execute" env:"HAWTHORNTACK_EXECUTE" value-name:"TEXT" description:"Statements to run"`
	File       string        `short:"f" long:"file" env:"HAWTHORNTACK_FILE" value-name:"FILE" description:"File of statements to run; - is standard input"`
	Output     string        `short:"o" long:"output" env:"HAWTHORNTACK_OUTPUT" choice:"table" choice:"json" default:"table" description:"Format of the output"`
	DryRun     bool          `long:"dry-run" env:"HAWTHORNTACK_DRY_RUN" description:"Show the difference that the statements would make without applying them"`
	Change     string        `long:"change-id" env:"HAWTHORNTACK_CHANGE_ID" value-name:"ID" description:"Identifier of the change; generated when empty"`
	Timeout    time.Duration `long:"timeout" env:"HAWTHORNTACK_TIMEOUT" default:"30s" description:"How long to wait for a reply"`
	NewKey     bool          `long:"new-key" description:"Print a new operator key and its hash, and do nothing else"`
}

// addCtl adds the ctl subcommand.
func addCtl(parser *flags.Parser, std streams) error {
	_, err := parser.AddCommand("ctl", "Run operators' statements",
		"Runs statements of the operators' language on a node: from -e, from a file, from standard input, or at a prompt.\n"+
			"Exit codes: 0 done, 1 failed (not accepted, or outcome unknown: the change identifier for a later query is printed), 2 bad usage.",
		&ctlCommand{std: std})
	return err
}

// Execute implements flags.Commander.
func (c *ctlCommand) Execute(arguments []string) error {
	if len(arguments) > 0 {
		return &UsageError{Setting: arguments[0], Reason: "statements are given with -e, -f or standard input"}
	}
	if c.Statements != "" && c.File != "" {
		return &UsageError{Setting: "--execute", Reason: "cannot be used together with --file"}
	}
	if c.NewKey {
		return printNewKey(c.std.out)
	}
	admin, err := c.client()
	if err != nil {
		return err
	}
	client := &ctlClient{admin}
	if c.isInteractive() {
		return c.prompt(client)
	}
	text, err := c.text()
	if err != nil {
		return err
	}
	return c.runText(client, text)
}

// isInteractive reports whether statements are read from a terminal.
func (c *ctlCommand) isInteractive() bool {
	file, ok := c.std.in.(*os.File)
	return c.Statements == "" && c.File == "" && ok && isatty.IsTerminal(file.Fd())
}

// text returns the statements to run.
func (c *ctlCommand) text() (string, error) {
	if c.Statements != "" {
		return c.Statements, nil
	}
	if c.File == "" || c.File == "-" {
		return readAll(c.std.in, "standard input")
	}
	return readFile(c.File)
}

// runText runs one text and prints the reply. It returns *OutcomeError if the reply is
// a failure.
func (c *ctlCommand) runText(client *ctlClient, text string) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	reply, err := client.run(ctx, text, c.DryRun, model.ChangeID(c.Change))
	if err != nil {
		return err
	}
	if c.Output == "json" {
		err = printJSON(c.std.out, reply)
	} else {
		err = printReply(c.std.out, reply)
	}
	return errors.Join(err, outcomeError(reply))
}

// OutcomeError reports that a statement was not accepted, or that its outcome is
// unknown.
type OutcomeError struct {
	Outcome effect.StatementOutcome
	Change  model.ChangeID
	Reason  string
}

// Error implements error.
func (e *OutcomeError) Error() string {
	if e.Outcome == effect.ChangeUnknown {
		return fmt.Sprintf("unknown: the change may or may not take effect (%s); ask later: show change %s", e.Reason, e.Change)
	}
	return "not accepted: " + e.Reason
}

// outcomeError returns the error of a reply, or nil.
func outcomeError(reply api.StatementReply) error {
	failed := reply.Outcome == effect.NotAccepted || reply.Outcome == effect.ChangeUnknown
	if !failed && reply.Error == nil {
		return nil
	}
	reason := "no reason was given"
	if reply.Error != nil {
		reason = reply.Error.Error()
	}
	return &OutcomeError{Outcome: reply.Outcome, Change: reply.Change, Reason: reason}
}

// readFile returns the contents of a file.
func readFile(name string) (string, error) {
	file, err := os.Open(name)
	if err != nil {
		return "", fmt.Errorf("read file: %w", err)
	}
	defer file.Close()
	return readAll(file, name)
}

// readAll reads r until EOF; name describes it in errors.
func readAll(r io.Reader, name string) (string, error) {
	text, err := io.ReadAll(r)
	if err != nil {
		return "", fmt.Errorf("read %s: %w", name, err)
	}
	return string(text), nil
}
