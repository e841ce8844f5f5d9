package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"

	"github.com/hawthorntack/hawthorntack/internal/daemon"
	"github.com/hawthorntack/hawthorntack/internal/logging"
	"github.com/hawthorntack/hawthorntack/platform"
)

// edgeCommand runs one node on the users' platform.
type edgeCommand struct {
	std streams

	Settings    string `long:"settings" env:"HAWTHORNTACK_NODE_FILE" description:"Path of the platform's settings file"`
	MetricsPort string `long:"metrics-port" env:"HAWTHORNTACK_METRICS_PORT" description:"Port for metrics on the callers' address; none are served without it"`
	LogLines    int    `long:"log-lines" env:"HAWTHORNTACK_LOG_LINES" default:"500" description:"Most lines of good news a second; more are left out and counted"`
	Seed        uint64 `long:"seed" env:"HAWTHORNTACK_SEED" description:"Seed of the node's random decisions; 0 takes one from the clock"`

	logSettings
}

// addEdge adds the edge subcommand.
func addEdge(parser *flags.Parser, std streams) error {
	_, err := parser.AddCommand("edge", "Run a node on the platform",
		"Runs one node by the platform's settings file until SIGTERM. SIGHUP reads the file again; SIGUSR1 writes the state dump into the log.",
		&edgeCommand{std: std})
	return err
}

// Execute implements flags.Commander.
func (c *edgeCommand) Execute([]string) error {
	lines := logging.NewWriter(c.std.out, c.LogLines)
	defer lines.Close()
	log, err := c.logger(lines)
	if err != nil {
		return err
	}
	settings, err := platform.ReadSettings(c.Settings)
	if err != nil {
		return &UsageError{Setting: "--settings", Reason: err.Error()}
	}
	d, err := platform.New(platform.Options{
		Settings:    settings,
		Incarnation: daemon.NewIncarnation(),
		MetricsPort: c.MetricsPort,
		Log:         log,
		Seed:        seedOr(c.Seed),
	})
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	defer signal.Stop(signals)
	go c.handleSignals(signals, d, log)
	return d.Run(context.Background())
}

// handleSignals stops the node, reads its settings again, or logs its state.
func (c *edgeCommand) handleSignals(signals <-chan os.Signal, d *platform.Daemon, log *logrus.Logger) {
	for received := range signals {
		switch received {
		case syscall.SIGHUP:
			c.reload(d, log)
		case syscall.SIGUSR1:
			logDump(d, log)
		default:
			d.Stop()
		}
	}
}

// reload follows a changed settings file, or keeps the settings in force.
func (c *edgeCommand) reload(d *platform.Daemon, log *logrus.Logger) {
	settings, err := platform.ReadSettings(c.Settings)
	if err != nil {
		log.WithField("component", "edge").WithError(err).Error("settings stay as they are")
		return
	}
	d.Reload(settings)
}

// dumper returns a state dump.
type dumper interface {
	Dump(ctx context.Context) ([]byte, error)
}

// logDump writes the state dump into the log.
func logDump(d dumper, log *logrus.Logger) {
	dump, err := d.Dump(context.Background())
	if err != nil {
		log.WithField("component", "node").WithError(err).Warn("no state dump")
		return
	}
	log.WithField("component", "node").WithField("state", string(dump)).Info("state dump")
}
