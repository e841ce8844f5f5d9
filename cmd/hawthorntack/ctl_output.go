package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/hawthorntack/hawthorntack/internal/api"
	"github.com/hawthorntack/hawthorntack/internal/auth"
	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// printJSON prints a value as indented JSON.
func printJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		return fmt.Errorf("print JSON: %w", err)
	}
	return nil
}

// printReply prints a reply in human-readable form.
func printReply(w io.Writer, reply api.StatementReply) error {
	for i, table := range reply.Tables {
		if i > 0 {
			fmt.Fprintln(w)
		}
		if err := printTable(w, table); err != nil {
			return err
		}
	}
	if reply.Text != "" {
		fmt.Fprintln(w, strings.TrimRight(reply.Text, "\n"))
	}
	switch {
	case reply.Outcome == effect.Accepted:
		fmt.Fprintf(w, "accepted as revision %d, change %s\n", reply.Revision, reply.Change)
	case reply.Outcome == effect.DryRun && reply.Text == "" && reply.Error == nil:
		fmt.Fprintln(w, "no difference")
	}
	return nil
}

// printTable prints a table with aligned columns.
func printTable(w io.Writer, table model.Table) error {
	aligned := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(aligned, strings.ToUpper(strings.Join(table.Columns, "\t")))
	for _, row := range table.Rows {
		fmt.Fprintln(aligned, strings.Join(row, "\t"))
	}
	if err := aligned.Flush(); err != nil {
		return fmt.Errorf("print table: %w", err)
	}
	return nil
}

// printNewKey prints a new operator key and its hash for the configuration.
func printNewKey(w io.Writer) error {
	key, hash, err := auth.NewKey()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "key   %s\nhash  %s\n", key, hash)
	return err
}
