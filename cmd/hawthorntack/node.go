package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/labstack/gommon/bytes"
	"github.com/sirupsen/logrus"

	"github.com/hawthorntack/hawthorntack/internal/auth"
	"github.com/hawthorntack/hawthorntack/internal/daemon"
	"github.com/hawthorntack/hawthorntack/internal/machine"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/platform"
	"github.com/hawthorntack/hawthorntack/internal/reducer"
	"github.com/hawthorntack/hawthorntack/internal/reducer/dispatch"
	"github.com/hawthorntack/hawthorntack/internal/tlsconfig"
)

// nodeCommand runs one node.
type nodeCommand struct {
	std streams

	Host          string `long:"host" env:"HAWTHORNTACK_HOST" required:"yes" description:"Name of this host, unique among the entry hosts"`
	FailureDomain string `long:"failure-domain" env:"HAWTHORNTACK_FAILURE_DOMAIN" required:"yes" description:"Failure domain of this host"`
	ListenCaller  string `long:"listen-caller" env:"HAWTHORNTACK_LISTEN_CALLER" default:"127.0.0.1:8080" description:"Address for callers"`
	ListenPeer    string `long:"listen-peer" env:"HAWTHORNTACK_LISTEN_PEER" default:"127.0.0.1:8081" description:"Address for other nodes"`
	ListenAdmin   string `long:"listen-admin" env:"HAWTHORNTACK_LISTEN_ADMIN" default:"127.0.0.1:8082" description:"Address for operators"`
	Platform      string `long:"platform" env:"HAWTHORNTACK_PLATFORM" required:"yes" description:"Base URL of the platform's service, such as http://127.0.0.1:9400"`
	BodyLimit     string `long:"body-limit" env:"HAWTHORNTACK_BODY_LIMIT" default:"1M" description:"Maximum size of a request body"`
	Seed          uint64 `long:"seed" env:"HAWTHORNTACK_SEED" description:"Seed of the node's random decisions; 0 takes one from the clock"`

	machineSettings
	reducerSettings
	logSettings
	tlsSettings
}

// machineSettings are the limits of the machine.
type machineSettings struct {
	MemoryLimit     string `long:"memory-limit" env:"HAWTHORNTACK_MEMORY_LIMIT" description:"Memory that the process may use, such as 512M; the machine's if it is empty. Clients may make it hold a quarter of what the program leaves"`
	DescriptorLimit int    `long:"descriptor-limit" env:"HAWTHORNTACK_DESCRIPTOR_LIMIT" description:"Descriptors that the process may open; the system's limit if it is 0. Clients may take four tenths of them"`
}

// machineLimits returns the limits of the machine; it returns *UsageError if a setting is invalid.
func (s machineSettings) machineLimits() (machine.Limits, error) {
	limits := machine.Limits{Descriptors: s.DescriptorLimit}
	if s.DescriptorLimit < 0 {
		return limits, &UsageError{Setting: "--descriptor-limit", Reason: "must be at least 0"}
	}
	if s.MemoryLimit != "" {
		memory, err := bytes.Parse(s.MemoryLimit)
		if err != nil {
			return limits, &UsageError{Setting: "--memory-limit", Reason: err.Error()}
		}
		limits.Memory = memory
	}
	return limits.Within(machine.OfSystem()), nil
}

// maxWeight is the largest weight of a host.
const maxWeight = 1000

// reducerSettings are the settings of a node's reducer.
type reducerSettings struct {
	Weight      int           `long:"weight" env:"HAWTHORNTACK_WEIGHT" default:"1" description:"Share of callers and upstreams relative to other hosts, from 1 to 1000"`
	Dispatchers int           `long:"dispatchers" env:"HAWTHORNTACK_DISPATCHERS" default:"1" description:"Number of nodes that hold connections to an upstream"`
	SubsetSize  int           `long:"subset-size" env:"HAWTHORNTACK_SUBSET_SIZE" default:"4" description:"Number of nodes that serve the callers of a service"`
	EntryTTL    time.Duration `long:"entry-ttl" env:"HAWTHORNTACK_ENTRY_TTL" default:"5s" description:"How long a caller may cache entry guidance"`
	Policy      string        `long:"policy" env:"HAWTHORNTACK_POLICY" default:"full" choice:"full" choice:"plain" description:"Routing and queueing policies; plain is the baseline for measurements: random replica, first in first out, no early refusal"`
	StopGrace   time.Duration `long:"stop-grace" env:"HAWTHORNTACK_STOP_GRACE" default:"30s" description:"Maximum duration of a graceful stop"`
}

// tune validates the settings and returns a function that applies them to the
// reducer's settings; it returns *UsageError if a setting is invalid.
func (s reducerSettings) tune() (func(*reducer.Settings), error) {
	switch {
	case s.Weight < 1 || s.Weight > maxWeight:
		return nil, &UsageError{Setting: "--weight", Reason: "must be from 1 to 1000"}
	case s.Dispatchers < 1:
		return nil, &UsageError{Setting: "--dispatchers", Reason: "must be at least 1"}
	case s.SubsetSize < 1:
		return nil, &UsageError{Setting: "--subset-size", Reason: "must be at least 1"}
	case s.EntryTTL <= 0:
		return nil, &UsageError{Setting: "--entry-ttl", Reason: "must be over 0"}
	case s.StopGrace <= s.EntryTTL:
		return nil, &UsageError{Setting: "--stop-grace", Reason: "must be longer than --entry-ttl"}
	}
	return func(settings *reducer.Settings) {
		settings.Self.Weight = s.Weight
		settings.Entry.Dispatchers = s.Dispatchers
		settings.Entry.SubsetSize = s.SubsetSize
		settings.Entry.TTL = s.EntryTTL
		settings.StopGrace = s.StopGrace
		if s.Policy == "plain" {
			usePlainPolicies(settings)
		}
	}, nil
}

// usePlainPolicies selects the baseline against which the policies are measured.
// Hedging is disabled by the baseline's configuration rather than here.
func usePlainPolicies(settings *reducer.Settings) {
	settings.Query.RandomReplica = true
	settings.Dispatch.Order = dispatch.ArrivalOrder
	settings.Dispatch.NoEarlyRefusal = true
}

// addNode adds the node subcommand.
func addNode(parser *flags.Parser, std streams) error {
	_, err := parser.AddCommand("node", "Run a node", "Runs one node on this host until SIGTERM. SIGUSR1 writes the state dump to the log.", &nodeCommand{std: std})
	return err
}

// Execute implements flags.Commander.
func (c *nodeCommand) Execute([]string) error {
	log, err := c.logger(c.std.err)
	if err != nil {
		return err
	}
	options, err := c.options(log)
	if err != nil {
		return err
	}
	certificates, err := c.loadCertificates()
	if err != nil {
		return err
	}
	setCertificates(&options, certificates, auth.Settings{OperatorsOnly: c.OperatorsOnly})
	d, err := daemon.New(options)
	if err != nil {
		return asUsageError(err)
	}
	log.WithFields(logrus.Fields{
		"component": "node", "host": c.Host, "caller": d.CallerAddress(), "peer": d.PeerAddress(), "admin": d.AdminAddress(),
	}).Info("started")
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	defer signal.Stop(signals)
	go handleSignals(signals, d, log)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go watchCertificates(ctx, certificates, log)
	return d.Run(ctx)
}

// options validates the settings and returns the daemon's options; it returns
// *UsageError if a setting is invalid.
func (c *nodeCommand) options(log *logrus.Logger) (daemon.Options, error) {
	for _, a := range []struct{ setting, address string }{
		{"--listen-caller", c.ListenCaller},
		{"--listen-peer", c.ListenPeer},
		{"--listen-admin", c.ListenAdmin},
	} {
		if err := checkAddress(a.setting, a.address); err != nil {
			return daemon.Options{}, err
		}
	}
	if err := checkURL("--platform", c.Platform); err != nil {
		return daemon.Options{}, err
	}
	if _, err := bytes.Parse(c.BodyLimit); err != nil {
		return daemon.Options{}, &UsageError{Setting: "--body-limit", Reason: err.Error()}
	}
	tune, err := c.tune()
	if err != nil {
		return daemon.Options{}, err
	}
	limits, err := c.machineLimits()
	if err != nil {
		return daemon.Options{}, err
	}
	limits.LimitHeap()
	client := platform.NewClient(c.Platform)
	return daemon.Options{
		Machine:       limits,
		Host:          model.HostID(c.Host),
		Incarnation:   daemon.NewIncarnation(),
		FailureDomain: model.FailureDomain(c.FailureDomain),
		ListenCaller:  c.ListenCaller,
		ListenPeer:    c.ListenPeer,
		ListenAdmin:   c.ListenAdmin,
		BodyLimit:     c.BodyLimit,
		Tune:          tune,
		Store:         client,
		Hosts:         client,
		Log:           log,
		Seed:          seedOrFromClock(c.Seed),
	}, nil
}

// setCertificates sets the TLS configurations and the access settings in a node's
// options.
func setCertificates(options *daemon.Options, certificates *tlsconfig.Material, settings auth.Settings) {
	options.CallerTLS = certificates.Caller
	options.AdminTLS = certificates.Admin
	options.UpstreamTLS = certificates.Upstream
	options.PeerServer = certificates.PeerServer
	options.PeerClient = certificates.PeerClient
	options.Auth = settings
}

// seedOrFromClock returns the seed, or a seed from the clock if it is zero.
func seedOrFromClock(seed uint64) uint64 {
	if seed != 0 {
		return seed
	}
	return uint64(time.Now().UnixNano())
}

// handleSignals logs the node's state on SIGUSR1 and stops the node on other signals.
func handleSignals(signals <-chan os.Signal, d *daemon.Daemon, log *logrus.Logger) {
	for received := range signals {
		if received != syscall.SIGUSR1 {
			d.Stop()
			continue
		}
		logDump(d, log)
	}
}
