package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/jessevdk/go-flags"
)

// dumpTimeout bounds the request for a state dump.
const dumpTimeout = 10 * time.Second

// dumpCommand prints a node's state.
type dumpCommand struct {
	std streams

	adminSettings
}

// addDump adds the dump subcommand.
func addDump(parser *flags.Parser, std streams) error {
	_, err := parser.AddCommand("dump", "Print a node's state", "Prints the state of a node as indented JSON.", &dumpCommand{std: std})
	return err
}

// ReplyError reports an HTTP reply with a status other than 200.
type ReplyError struct {
	Status string
	Body   string
}

// Error implements error.
func (e *ReplyError) Error() string { return e.Status + ": " + e.Body }

// Execute implements flags.Commander.
func (c *dumpCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), dumpTimeout)
	defer cancel()
	request, err := client.request(ctx, http.MethodGet, "/v1/admin/state", nil)
	if err != nil {
		return err
	}
	response, err := client.http.Do(request)
	if err != nil {
		return fmt.Errorf("state dump: %w", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("state dump: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return &ReplyError{Status: response.Status, Body: string(body)}
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, body, "", "  "); err != nil {
		return fmt.Errorf("state dump: %w", err)
	}
	indented.WriteByte('\n')
	if _, err := indented.WriteTo(c.std.out); err != nil {
		return fmt.Errorf("print state dump: %w", err)
	}
	return nil
}
