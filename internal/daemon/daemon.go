// Package daemon assembles one node from its listeners, HTTP servers, reducer
// runtime and metrics.
package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/labstack/gommon/bytes"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/hawthorntack/hawthorntack/internal/api"
	"github.com/hawthorntack/hawthorntack/internal/auth"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/guard"
	"github.com/hawthorntack/hawthorntack/internal/machine"
	"github.com/hawthorntack/hawthorntack/internal/metrics"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/platform"
	"github.com/hawthorntack/hawthorntack/internal/reducer"
	"github.com/hawthorntack/hawthorntack/internal/reducer/quota"
	"github.com/hawthorntack/hawthorntack/internal/runtime"
)

// Options configure a node's process.
type Options struct {
	Host          model.HostID
	Incarnation   model.Incarnation
	FailureDomain model.FailureDomain
	// ListenCaller, ListenPeer and ListenAdmin are the addresses to listen on.
	ListenCaller string
	ListenPeer   string
	ListenAdmin  string
	// BodyLimit bounds request bodies in echo's notation, such as "1M".
	BodyLimit string
	// Machine holds the limits of the machine, if they are lower than those of the system.
	Machine machine.Limits
	// Tune modifies the reducer's settings. If it is nil, the defaults apply.
	Tune  func(*reducer.Settings)
	Store platform.Store
	Hosts platform.HostLister
	// UpstreamTLS secures connections to upstreams; nil means plain TCP.
	UpstreamTLS *tls.Config
	// PeerServer and PeerClient secure the streams between nodes; nil means
	// plain TCP.
	PeerServer credentials.TransportCredentials
	PeerClient credentials.TransportCredentials
	// CallerTLS and AdminTLS secure the HTTP servers; nil means plain TCP.
	CallerTLS *tls.Config
	AdminTLS  *tls.Config
	// Auth determines on which addresses the administration API may listen.
	Auth auth.Settings
	Log  *logrus.Logger
	// Seed initializes the generator of the reducer's random values.
	Seed uint64
}

// Daemon is a node with open listeners.
type Daemon struct {
	options        Options
	callerListener net.Listener
	peerListener   net.Listener
	adminListener  net.Listener
	node           *runtime.Node
	registry       *prometheus.Registry
	// guard bounds what the clients of all listeners make the process hold.
	guard    *guard.Guard
	verifier *auth.Verifier
}

// ListenError reports an address on which a listener could not be opened.
type ListenError struct {
	// Setting names the flag, such as "--listen-caller".
	Setting string
	Err     error
}

// Error implements error.
func (e *ListenError) Error() string { return e.Setting + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// New opens the listeners and returns a node that is ready to run. It returns
// *ListenError, *auth.AddressError or the error of auth.NewVerifier.
func New(options Options) (*Daemon, error) {
	if err := options.Auth.CheckAddress(options.ListenAdmin, options.AdminTLS != nil); err != nil {
		return nil, err
	}
	d := &Daemon{options: options, registry: prometheus.NewRegistry()}
	d.registry.MustRegister(collectors.NewGoCollector())
	d.registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	if err := d.newGuard(); err != nil {
		return nil, err
	}
	for _, l := range []struct {
		setting  string
		address  string
		at       quota.Listener
		carries  guard.Content
		listener *net.Listener
	}{
		{"--listen-caller", options.ListenCaller, quota.Callers, contentOf(options.CallerTLS), &d.callerListener},
		{"--listen-peer", options.ListenPeer, quota.Peers, guard.Streams, &d.peerListener},
		{"--listen-admin", options.ListenAdmin, quota.Administration, contentOf(options.AdminTLS), &d.adminListener},
	} {
		listener, err := guard.Listen(l.address)
		if err != nil {
			d.closeListeners()
			return nil, &ListenError{Setting: l.setting, Err: err}
		}
		*l.listener = d.guard.Wrap(listener, l.at, l.carries)
	}
	d.node = d.newNode()
	metrics.NewGauges(d.registry, d.node.Calls())
	verifier, err := auth.NewVerifier(d.node.Operators, time.Now)
	if err != nil {
		d.closeListeners()
		return nil, err
	}
	d.verifier = verifier
	return d, nil
}

// listenerShares says which part of the account for clients each listener may use.
var listenerShares = map[quota.Listener]float64{
	quota.Callers: 0.75, quota.Administration: 0.25,
	// What is kept for other nodes lies beside the account.
	quota.Peers: 0.25,
}

// newGuard sets the daemon's guard. It returns an error if the limit on bodies is malformed.
func (d *Daemon) newGuard() error {
	bodyLimit, err := bytes.Parse(d.options.BodyLimit)
	if err != nil {
		return fmt.Errorf("limit on bodies: %w", err)
	}
	d.guard = guard.New(guard.Options{
		Machine: d.options.Machine.Within(machine.OfSystem()), Shares: listenerShares, Metrics: d.registry, Log: d.options.Log,
	})
	d.guard.SetRequestLimits(model.RequestLimits{HeaderBytes: api.MaxHeaderBytes, BodyBytes: int(bodyLimit)})
	return nil
}

// contentOf returns what the connections of a listener carry.
func contentOf(secured *tls.Config) guard.Content {
	if secured != nil {
		return guard.TLS
	}
	return guard.HTTP
}

// newNode returns the node, which announces the actual addresses of its listeners.
func (d *Daemon) newNode() *runtime.Node {
	o := d.options
	settings := reducer.DefaultSettings(model.Member{
		Host:          o.Host,
		Incarnation:   o.Incarnation,
		FailureDomain: o.FailureDomain,
		CallerAddress: d.CallerAddress(),
		PeerAddress:   d.PeerAddress(),
	})
	if o.Tune != nil {
		o.Tune(&settings)
	}
	return runtime.NewNode(runtime.Options{
		Settings:              settings,
		Store:                 o.Store,
		Hosts:                 o.Hosts,
		PeerListener:          d.peerListener,
		PeerServerCredentials: credentialsOrInsecure(o.PeerServer),
		PeerClientCredentials: credentialsOrInsecure(o.PeerClient),
		UpstreamTLS:           o.UpstreamTLS,
		Metrics:               d.registry,
		Log:                   o.Log,
		Seed:                  o.Seed,
	})
}

// credentialsOrInsecure returns the credentials, or those for plain TCP if they are
// nil.
func credentialsOrInsecure(c credentials.TransportCredentials) credentials.TransportCredentials {
	if c == nil {
		return insecure.NewCredentials()
	}
	return c
}

// CallerAddress returns the address to which callers connect.
func (d *Daemon) CallerAddress() string { return d.callerListener.Addr().String() }

// PeerAddress returns the address to which other nodes connect.
func (d *Daemon) PeerAddress() string { return d.peerListener.Addr().String() }

// AdminAddress returns the address to which operators connect.
func (d *Daemon) AdminAddress() string { return d.adminListener.Addr().String() }

// Stop starts a graceful shutdown. A second call stops the node immediately.
func (d *Daemon) Stop() { d.node.Submit(event.StopRequested{}) }

// Dump returns the state dump as JSON, with what the clients make the process hold.
func (d *Daemon) Dump(ctx context.Context) ([]byte, error) {
	dump, err := d.node.Calls().Dump(ctx)
	if err != nil {
		return nil, err
	}
	return d.guard.AddTo(dump)
}

// OpenRequestsError reports that the node stopped while requests were open.
type OpenRequestsError struct {
	Count int
}

// Error implements error.
func (e *OpenRequestsError) Error() string {
	return fmt.Sprintf("node stopped with %d open requests", e.Count)
}

// Run serves until the node exits or the context is cancelled. It returns
// *OpenRequestsError if requests were open when the node stopped.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var servers sync.WaitGroup
	failed := make(chan error, 2)
	serve := func(e *echo.Echo, l net.Listener, t *tls.Config) {
		if t != nil {
			l = tls.NewListener(l, t)
		}
		servers.Go(func() {
			if err := api.Serve(ctx, e, d.guard, l); err != nil {
				failed <- err
				cancel()
			}
		})
	}
	serve(d.callerAPI(), d.callerListener, d.options.CallerTLS)
	serve(d.adminAPI(), d.adminListener, d.options.AdminTLS)
	openRequests, err := d.node.Run(ctx)
	cancel()
	servers.Wait()
	select {
	case serveErr := <-failed:
		err = errors.Join(err, serveErr)
	default:
	}
	if err == nil && openRequests > 0 {
		return &OpenRequestsError{Count: openRequests}
	}
	return err
}

// callerAPI returns the API for callers.
func (d *Daemon) callerAPI() *echo.Echo {
	e := api.NewEcho(d.options.BodyLimit)
	api.RegisterCaller(e, d.node.Calls())
	return e
}

// adminAPI returns the administration API.
func (d *Daemon) adminAPI() *echo.Echo {
	e := api.NewEcho(d.options.BodyLimit)
	api.RegisterAdmin(e, api.AdminOptions{
		Administration: d.node.Calls(),
		Verifier:       d.verifier,
		Gatherer:       d.registry,
		CountRefusal:   metrics.NewRefusals(d.registry).Count,
		OnLoopback:     auth.IsLoopback(d.AdminAddress()),
	})
	return e
}

// closeListeners closes the listeners that are open.
func (d *Daemon) closeListeners() {
	for _, l := range []net.Listener{d.callerListener, d.peerListener, d.adminListener} {
		if l != nil {
			l.Close()
		}
	}
}

// NewIncarnation returns the number of an incarnation that starts now, in
// microseconds since the Unix epoch. The clock is used because hosts keep no
// persistent state.
func NewIncarnation() model.Incarnation {
	return model.Incarnation(time.Now().UnixMicro())
}
