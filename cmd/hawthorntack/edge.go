package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"

	"github.com/hawthorntack/hawthorntack/internal/daemon"
	"github.com/hawthorntack/hawthorntack/internal/logging"
	"github.com/hawthorntack/hawthorntack/internal/machine"
	"github.com/hawthorntack/hawthorntack/platform"
)

// edgeCommand runs one node on the users' platform, configured by its settings file.
type edgeCommand struct {
	std streams

	Settings    string `long:"settings" env:"HAWTHORNTACK_NODE_FILE" description:"Path of the platform's settings file"`
	MetricsPort string `long:"metrics-port" env:"HAWTHORNTACK_METRICS_PORT" description:"Port for metrics on the callers' address; metrics are not served if it is empty"`
	LogLines    int    `long:"log-lines" env:"HAWTHORNTACK_LOG_LINES" default:"500" description:"Maximum number of info log lines per second; further ones are dropped and counted"`
	Seed        uint64 `long:"seed" env:"HAWTHORNTACK_SEED" description:"Seed of the node's random decisions; 0 takes one from the clock"`

	logSettings
}

// addEdge adds the edge subcommand.
func addEdge(parser *flags.Parser, std streams) error {
	_, err := parser.AddCommand("edge", "Run a node on the platform",
		"Runs one node with the platform's settings file until SIGTERM. SIGHUP reloads the file; SIGUSR1 writes the state dump to the log.",
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
	settings.Machine.Within(machine.OfSystem()).LimitHeap()
	d, err := platform.New(platform.Options{
		Settings:    settings,
		Incarnation: daemon.NewIncarnation(),
		MetricsPort: c.MetricsPort,
		Log:         log,
		Seed:        seedOrFromClock(c.Seed),
	})
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	defer signal.Stop(signals)
	go c.handleSignals(signals, settings, d, log)
	return d.Run(context.Background())
}

// settingsPollInterval is the interval at which the settings file is checked for changes,
// since it may change without a signal. Other nodes also take a few seconds to apply a
// change.
const settingsPollInterval = 3 * time.Second

// handleSignals stops the node, logs its state or reloads its settings on a signal. It also
// polls the settings file and reloads it if it changed. Polling logs an invalid file once,
// until the file is valid again.
func (c *edgeCommand) handleSignals(signals <-chan os.Signal, current platform.Settings, d *platform.Daemon, log *logrus.Logger) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	valid := true
	for {
		select {
		case <-ticker.C:
			read, err := platform.ReadSettings(c.Settings)
			switch {
			case err != nil && valid:
				logInvalidSettings(log, err)
			case err == nil && read != current:
				current = read
				d.Reload(read)
			}
			valid = err == nil
		case received, open := <-signals:
			if !open {
				return
			}
			switch received {
			case syscall.SIGHUP:
				current = c.reload(current, d, log)
			case syscall.SIGUSR1:
				logDump(d, log)
			default:
				d.Stop()
			}
		}
	}
}

// reload applies the settings file, or keeps the current settings if it is invalid. It
// returns the settings that are in force.
func (c *edgeCommand) reload(current platform.Settings, d *platform.Daemon, log *logrus.Logger) platform.Settings {
	read, err := platform.ReadSettings(c.Settings)
	if err != nil {
		logInvalidSettings(log, err)
		return current
	}
	d.Reload(read)
	return read
}

// logInvalidSettings logs that an invalid settings file was not applied.
func logInvalidSettings(log *logrus.Logger, err error) {
	log.WithField("component", "edge").WithError(err).Error("settings not reloaded")
}

// dumper returns a state dump.
type dumper interface {
	Dump(ctx context.Context) ([]byte, error)
}

// logDump writes the state dump to the log.
func logDump(d dumper, log *logrus.Logger) {
	dump, err := d.Dump(context.Background())
	if err != nil {
		log.WithField("component", "node").WithError(err).Warn("state dump failed")
		return
	}
	log.WithField("component", "node").WithField("state", string(dump)).Info("state dump")
}
