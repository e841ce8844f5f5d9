package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/hawthorntack/hawthorntack/internal/demo"
	"github.com/hawthorntack/hawthorntack/internal/deployment"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/statement"
)

// demoCommand runs nodes and stand-ins for a deployment on loopback ports.
type demoCommand struct {
	std streams

	For          time.Duration `long:"for" env:"HAWTHORNTACK_FOR" description:"Stop after this time; 0 runs until SIGTERM"`
	Nodes        int           `long:"nodes" env:"HAWTHORNTACK_NODES" default:"4" description:"Number of nodes"`
	Deployment   string        `long:"deployment" env:"HAWTHORNTACK_DEPLOYMENT" default:"demo" choice:"demo" choice:"aranguiz" choice:"hinokuni" description:"Services to start"`
	HostListLag  time.Duration `long:"host-list-lag" env:"HAWTHORNTACK_HOST_LIST_LAG" description:"Lag of the platform's host list"`
	RollEvery    time.Duration `long:"roll-every" env:"HAWTHORNTACK_ROLL_EVERY" description:"Time over which the index is rolled to its next version, again and again; 0 keeps the first version"`
	PlatformOnly bool          `long:"platform-only" env:"HAWTHORNTACK_PLATFORM_ONLY" description:"Start only the stand-ins, for nodes that run as separate processes"`
	Platform     string        `long:"listen-platform" env:"HAWTHORNTACK_LISTEN_PLATFORM" default:"127.0.0.1:0" description:"Address of the platform stand-in with --platform-only"`
	Hosts        []string      `long:"known-host" env:"HAWTHORNTACK_KNOWN_HOSTS" env-delim:";" description:"Host for the platform's list with --platform-only, as HOST,FAILURE-DOMAIN,PEER-ADDRESS; repeatable"`
	Seed         uint64        `long:"seed" env:"HAWTHORNTACK_SEED" default:"1" description:"Seed of the stand-ins and nodes"`

	reducerSettings
	logSettings
}

// addDemo adds the demo subcommand.
func addDemo(parser *flags.Parser, std streams) error {
	_, err := parser.AddCommand("demo", "Run nodes and stand-ins on loopback", "Starts nodes, a stand-in for the platform and stand-in upstreams in one process on loopback ports, applies a configuration, prints one JSON line with the addresses when ready, and runs until SIGTERM.", &demoCommand{std: std})
	return err
}

// demoReady is encoded as the JSON line that the demo prints when it is ready.
type demoReady struct {
	Entry    []string `json:"entry,omitempty"`
	Admin    []string `json:"admin,omitempty"`
	Platform string   `json:"platform"`
	// Configuration holds the statements to apply to the nodes, with --platform-only.
	Configuration string `json:"configuration,omitempty"`
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	if c.Nodes < 1 {
		return &UsageError{Setting: "--nodes", Reason: "must be at least 1"}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if c.For > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.For)
		defer cancel()
	}
	if c.PlatformOnly {
		return c.runStandIns(ctx)
	}
	return c.runAll(ctx)
}

// deployment returns the chosen deployment.
func (c *demoCommand) deployment() deployment.Deployment {
	d, _ := deployment.ByName(c.Deployment)
	return d
}

// runAll runs the stand-ins and the nodes.
func (c *demoCommand) runAll(ctx context.Context) error {
	log, err := c.logger(c.std.err)
	if err != nil {
		return err
	}
	tune, err := c.tune()
	if err != nil {
		return err
	}
	running, err := demo.Start(context.Background(), demo.Options{
		Deployment:  c.deployment(),
		Nodes:       c.Nodes,
		BodyLimit:   "1M",
		HostListLag: c.HostListLag,
		Tune:        tune,
		Log:         log,
		Seed:        c.Seed,
	})
	if err != nil {
		return err
	}
	if c.RollEvery > 0 {
		go running.StandIns.RollVersions(ctx, c.RollEvery)
	}
	ready := demoReady{Entry: running.CallerAddresses(), Admin: running.AdminAddresses(), Platform: running.StandIns.PlatformURL()}
	if err := json.NewEncoder(c.std.out).Encode(ready); err != nil {
		return fmt.Errorf("print addresses: %w", err)
	}
	<-ctx.Done()
	for _, failure := range running.Stop() {
		log.WithField("component", "demo").WithError(failure).Error("node stopped with an error")
	}
	return nil
}

// runStandIns runs the stand-ins without nodes.
func (c *demoCommand) runStandIns(ctx context.Context) error {
	hosts, err := c.knownHosts()
	if err != nil {
		return err
	}
	standIns, err := demo.StartStandIns(c.deployment(), c.Platform, c.HostListLag, c.Seed)
	if err != nil {
		return err
	}
	defer standIns.Close()
	for _, host := range hosts {
		standIns.AddHost(host)
	}
	if c.RollEvery > 0 {
		go standIns.RollVersions(ctx, c.RollEvery)
	}
	ready := demoReady{Platform: standIns.PlatformURL(), Configuration: statement.Print(standIns.Config)}
	if err := json.NewEncoder(c.std.out).Encode(ready); err != nil {
		return fmt.Errorf("print addresses: %w", err)
	}
	<-ctx.Done()
	return nil
}

// knownHosts parses the hosts for the platform's list; it returns *UsageError if one is
// malformed.
func (c *demoCommand) knownHosts() ([]model.HostEntry, error) {
	var hosts []model.HostEntry
	for _, text := range c.Hosts {
		fields := strings.Split(text, ",")
		if len(fields) != 3 {
			return nil, &UsageError{Setting: "--known-host", Reason: text + " is not HOST,FAILURE-DOMAIN,PEER-ADDRESS"}
		}
		if err := checkAddress("--known-host", fields[2]); err != nil {
			return nil, err
		}
		hosts = append(hosts, model.HostEntry{
			Host: model.HostID(fields[0]), FailureDomain: model.FailureDomain(fields[1]), PeerAddress: fields[2],
		})
	}
	return hosts, nil
}
