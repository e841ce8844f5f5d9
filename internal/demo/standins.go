// Package demo starts a deployment on loopback ports in one process: the
// platform stand-in, the stand-in upstreams and, if wanted, the nodes.
package demo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/hawthorntack/hawthorntack/internal/deployment"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/standin/backend"
	"github.com/hawthorntack/hawthorntack/internal/standin/kv"
	"github.com/hawthorntack/hawthorntack/internal/standin/platform"
)

// anyPort listens on a free loopback port.
const anyPort = "127.0.0.1:0"

// crashDownTime is how long a stand-in upstream stays down after a crash.
const crashDownTime = time.Second

// StandIns are the platform and the upstreams of a deployment.
type StandIns struct {
	Platform *platform.Server
	// Upstreams are in the order of the configuration.
	Upstreams []*backend.Upstream
	Config    *model.Config
	server    *http.Server
	address   string
	hosts     []model.HostEntry

	mu      sync.Mutex
	version model.Version
}

// StartStandIns starts the platform at an address and the upstreams at free
// ports.
func StartStandIns(d deployment.Deployment, platformAddress string, hostListLag time.Duration, seed uint64) (*StandIns, error) {
	s := &StandIns{version: deployment.FirstVersion, Platform: platform.New(platform.Settings{Limits: kv.DefaultLimits(), HostListDelay: hostListLag})}
	if err := s.serve(platformAddress); err != nil {
		return nil, err
	}
	place := func(id model.UpstreamID, shape deployment.Shape, holdings []model.Holding) (string, error) {
		seed++
		u, err := backend.Start(anyPort, backend.Options{
			ID:          id,
			Slots:       shape.Slots,
			Connections: shape.Connections,
			ConnectTime: shape.ConnectTime,
			Delay:       d.Delay,
			ServiceTime: shape.ServiceTime,
			Holdings:    holdings,
			Crashes:     true,
			DownTime:    crashDownTime,
			Seed:        seed,
		})
		if err != nil {
			return "", err
		}
		s.Upstreams = append(s.Upstreams, u)
		return u.Address(), nil
	}
	config, err := d.Configure(place)
	if err != nil {
		s.Close()
		return nil, err
	}
	s.Config = config
	return s, nil
}

// serve starts the platform's HTTP server.
func (s *StandIns) serve(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("stand-in platform: %w", err)
	}
	s.address = listener.Addr().String()
	e := echo.New()
	e.HideBanner = true
	s.Platform.Register(e)
	s.registerControl(e)
	s.server = &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	go func() {
		// Serve always ends with an error; Close is the only expected one.
		_ = s.server.Serve(listener)
	}()
	return nil
}

// PlatformURL returns the platform's base URL.
func (s *StandIns) PlatformURL() string { return "http://" + s.address }

// AddHost puts a host on the platform's list.
func (s *StandIns) AddHost(host model.HostEntry) {
	s.hosts = append(s.hosts, host)
	s.Platform.SetHosts(event.HostList{Hosts: s.hosts})
}

// Close ends all stand-ins.
func (s *StandIns) Close() {
	s.server.Close()
	s.Platform.Close()
	for _, u := range s.Upstreams {
		u.Close()
	}
}

// RollVersions rolls the index to its next version again and again, each time
// over an interval, until the context ends.
func (s *StandIns) RollVersions(ctx context.Context, interval time.Duration) {
	for ctx.Err() == nil {
		s.Roll(ctx, interval)
	}
}

// Roll gives the upstreams the next version of the index, one after another over
// an interval. Each keeps the version before, and drops the one before that.
func (s *StandIns) Roll(ctx context.Context, interval time.Duration) {
	s.mu.Lock()
	s.version++
	version := s.version
	s.mu.Unlock()
	for i, id := range s.upstreamIDs() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval / time.Duration(len(s.Upstreams))):
		}
		s.Upstreams[i].SetHoldings(deployment.Holdings(id.Service(), version-1, version))
	}
}

// upstreamIDs returns the identifiers in the order of Upstreams.
func (s *StandIns) upstreamIDs() []model.UpstreamID {
	var ids []model.UpstreamID
	for _, service := range s.Config.Services {
		for _, u := range service.Upstreams {
			ids = append(ids, u.ID)
		}
	}
	return ids
}
