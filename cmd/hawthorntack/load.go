package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/hawthorntack/hawthorntack/internal/load"
)

// loadCommand generates load and reports outcomes and latencies.
type loadCommand struct {
	std streams

	Entry    []string      `long:"entry" env:"HAWTHORNTACK_ENTRY" env-delim:"," required:"yes" description:"Address of a node to ask for entry guidance; repeatable"`
	Service  string        `long:"service" env:"HAWTHORNTACK_SERVICE" required:"yes" description:"Service, or pattern of services to search"`
	Kind     string        `long:"kind" env:"HAWTHORNTACK_KIND" default:"search" choice:"search" choice:"order" description:"Kind of requests"`
	Rate     float64       `long:"rate" env:"HAWTHORNTACK_RATE" default:"100" description:"Requests per second"`
	Duration time.Duration `long:"duration" env:"HAWTHORNTACK_DURATION" default:"10s" description:"Length of the run"`
	Timeout  time.Duration `long:"timeout" env:"HAWTHORNTACK_TIMEOUT" description:"Timeout of each request; 0 leaves it to the service"`
	Resends  int           `long:"resends" env:"HAWTHORNTACK_RESENDS" description:"Maximum number of times that a request without a known outcome is sent again"`
	MaxOpen  int           `long:"max-open" env:"HAWTHORNTACK_MAX_OPEN" default:"4096" description:"Maximum number of open requests"`
	Seed     uint64        `long:"seed" env:"HAWTHORNTACK_SEED" default:"1" description:"Seed of the arrival times"`
	Output   string        `short:"o" long:"output" env:"HAWTHORNTACK_OUTPUT" default:"table" choice:"json" choice:"table" description:"Format of the report"`
}

// addLoad adds the load subcommand.
func addLoad(parser *flags.Parser, std streams) error {
	_, err := parser.AddCommand("load", "Generate load and report the results", "Sends requests on a schedule that does not depend on the answers. The latency of a request counts from its scheduled time, even if it was sent late. Checks every answer.", &loadCommand{std: std})
	return err
}

// Execute implements flags.Commander.
func (c *loadCommand) Execute([]string) error {
	for _, address := range c.Entry {
		if err := checkAddress("--entry", address); err != nil {
			return err
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	report, err := load.Run(ctx, load.Options{
		EntryAddresses: c.Entry,
		Service:        c.Service,
		Kind:           load.Kind(c.Kind),
		Rate:           c.Rate,
		Duration:       c.Duration,
		Timeout:        c.Timeout,
		Resends:        c.Resends,
		MaxInFlight:    c.MaxOpen,
		Seed:           c.Seed,
	})
	var option *load.OptionError
	if errors.As(err, &option) {
		return &UsageError{Setting: "--" + option.Option, Reason: option.Reason}
	}
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return printJSON(c.std.out, report)
	}
	return printReport(c.std.out, report)
}

// printReport prints a load report as a table.
func printReport(out io.Writer, r load.Report) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "service\t%s (%s, %g/s for %gs, seed %d)\n", r.Service, r.Kind, r.Rate, r.Duration, r.Seed)
	fmt.Fprintf(table, "requests\t%d\n", r.Requests)
	fmt.Fprintf(table, "outcomes\tanswered %d (partial %d), not run %d, unknown %d, failed %d\n", r.Answered, r.Partial, r.NotRun, r.Unknown, r.Failed)
	for _, code := range r.Codes {
		fmt.Fprintf(table, "  %s\t%d\n", code.Code, code.Count)
	}
	fmt.Fprintf(table, "latency\tp50 %.1f ms, p95 %.1f ms, p99 %.1f ms, p99.9 %.1f ms, max %.1f ms\n", r.P50, r.P95, r.P99, r.P999, r.Max)
	fmt.Fprintf(table, "coverage\t%.5f\n", r.Coverage)
	fmt.Fprintf(table, "extra work\t%.4f\n", r.ExtraWork)
	fmt.Fprintf(table, "broken promises\tforeign %d, mixed %d\n", r.Foreign, r.Mixed)
	if err := table.Flush(); err != nil {
		return fmt.Errorf("print report: %w", err)
	}
	return nil
}
