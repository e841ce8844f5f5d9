package main

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/peterh/liner"

	"github.com/hawthorntack/hawthorntack/internal/statement"
)

// prompt reads and runs statements from the terminal until the input ends. Input is run
// after a semicolon at the end of a line or an empty line. The history is kept for the
// session only, because hosts keep no state.
func (c *ctlCommand) prompt(client *ctlClient) error {
	editor := liner.NewLiner()
	defer editor.Close()
	editor.SetCtrlCAborts(true)
	var lines []string
	editor.SetWordCompleter(func(typed string, position int) (string, []string, string) {
		earlier := strings.Join(append(lines, ""), "\n")
		before, candidates := statement.Complete(earlier + typed[:position])
		return strings.TrimPrefix(before, earlier), candidates, typed[position:]
	})
	for {
		typed, err := editor.Prompt(promptText(lines))
		switch {
		case errors.Is(err, liner.ErrPromptAborted):
			lines = nil
			continue
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return fmt.Errorf("read the prompt: %w", err)
		}
		lines = append(lines, typed)
		if !isComplete(typed, lines) {
			continue
		}
		c.runInteractive(client, editor, strings.Join(lines, "\n"))
		lines = nil
	}
}

// promptText returns the prompt, which shows whether a statement is unfinished.
func promptText(lines []string) string {
	if len(lines) > 0 {
		return "    ...> "
	}
	return "hawthorntack> "
}

// isComplete reports whether the typed lines form a complete input.
func isComplete(typed string, lines []string) bool {
	trimmed := strings.TrimSpace(typed)
	return strings.HasSuffix(trimmed, ";") || trimmed == "" && len(lines) > 0
}

// runInteractive runs a typed text. A failure is printed and does not end the prompt.
func (c *ctlCommand) runInteractive(client *ctlClient, editor *liner.State, text string) {
	if strings.Trim(text, " \t\n;") == "" {
		return
	}
	editor.AppendHistory(strings.Join(strings.Fields(text), " "))
	if err := c.runText(client, text); err != nil {
		fmt.Fprintln(c.std.err, err)
	}
}
