// Package daemon puts one node together: listeners, HTTP servers, the reducer's
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
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/hawthorntack/hawthorntack/internal/api"
	"github.com/hawthorntack/hawthorntack/internal/auth"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/metrics"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/platform"
	"github.com/hawthorntack/hawthorntack/internal/reducer"
	"github.com/hawthorntack/hawthorntack/internal/runtime"
)

// Options are the settings of a node's process.
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
	// Tune changes the reducer's settings; nil keeps the defaults.
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
	// Auth tells where administration may listen.
	Auth auth.Settings
	Log  *logrus.Logger
	Seed uint64
}

// Daemon is a node whose listeners are open.
type Daemon struct {
	options  Options
	caller   net.Listener
	peer     net.Listener
	admin    net.Listener
	node     *runtime.Node
	registry *prometheus.Registry
	verifier *auth.Verifier
}

// ListenError reports an address that cannot be listened on.
type ListenError struct {
	// Setting names the flag, such as "--listen-caller".
	Setting string
	Err     error
}

// Error implements error.
func (e *ListenError) Error() string { return e.Setting + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// New opens the listeners; it returns *ListenError or *auth.AddressError.
func New(options Options) (*Daemon, error) {
	if err := options.Auth.CheckAddress(options.ListenAdmin, options.AdminTLS != nil); err != nil {
		return nil, err
	}
	d := &Daemon{options: options, registry: prometheus.NewRegistry()}
	d.registry.MustRegister(collectors.NewGoCollector())
	d.registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	for _, l := range []struct {
		setting  string
		address  string
		listener *net.Listener
	}{
		{"--listen-caller", options.ListenCaller, &d.caller},
		{"--listen-peer", options.ListenPeer, &d.peer},
		{"--listen-admin", options.ListenAdmin, &d.admin},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			d.closeListeners()
			return nil, &ListenError{Setting: l.setting, Err: err}
		}
		*l.listener = listener
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

// newNode returns the node with the addresses that its listeners got.
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
		PeerListener:          d.peer,
		PeerServerCredentials: orInsecure(o.PeerServer),
		PeerClientCredentials: orInsecure(o.PeerClient),
		UpstreamTLS:           o.UpstreamTLS,
		Registry:              d.registry,
		Log:                   o.Log,
		Seed:                  o.Seed,
	})
}

// orInsecure returns plain TCP for absent credentials.
func orInsecure(c credentials.TransportCredentials) credentials.TransportCredentials {
	if c == nil {
		return insecure.NewCredentials()
	}
	return c
}

// CallerAddress returns where callers connect.
func (d *Daemon) CallerAddress() string { return d.caller.Addr().String() }

// PeerAddress returns where peers connect.
func (d *Daemon) PeerAddress() string { return d.peer.Addr().String() }

// AdminAddress returns where operators connect.
func (d *Daemon) AdminAddress() string { return d.admin.Addr().String() }

// Stop starts the graceful stop; a second call ends it at once.
func (d *Daemon) Stop() { d.node.Submit(event.StopRequested{}) }

// Dump returns the state dump as JSON.
func (d *Daemon) Dump(ctx context.Context) ([]byte, error) { return d.node.Calls().Dump(ctx) }

// CutError reports that a stop ended with requests still open.
type CutError struct {
	Cut int
}

// Error implements error.
func (e *CutError) Error() string {
	return fmt.Sprintf("the stop cut %d open requests", e.Cut)
}

// Run serves until the node exits or the context ends. It returns *CutError
// when a stop cut requests.
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
			if err := api.Serve(ctx, e, l); err != nil {
				failed <- err
				cancel()
			}
		})
	}
	serve(d.callerAPI(), d.caller, d.options.CallerTLS)
	serve(d.adminAPI(), d.admin, d.options.AdminTLS)
	cut, err := d.node.Run(ctx)
	cancel()
	servers.Wait()
	select {
	case serving := <-failed:
		err = errors.Join(err, serving)
	default:
	}
	if err == nil && cut > 0 {
		return &CutError{Cut: cut}
	}
	return err
}

// callerAPI returns the callers' API.
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
		Refused:        metrics.NewRefusals(d.registry).Count,
		Loopback:       auth.IsLoopback(d.AdminAddress()),
	})
	return e
}

// closeListeners closes the listeners that are open.
func (d *Daemon) closeListeners() {
	for _, l := range []net.Listener{d.caller, d.peer, d.admin} {
		if l != nil {
			l.Close()
		}
	}
}

// NewIncarnation returns a number for the life that begins now. Hosts keep
// nothing, so it comes from the clock, in microseconds since the Unix epoch.
func NewIncarnation() model.Incarnation {
	return model.Incarnation(time.Now().UnixMicro())
}
