// Package demo runs a deployment on loopback ports in one process: the stand-in
// platform, the stand-in upstreams and, optionally, the nodes.
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

// anyPort is a listen address with any free loopback port.
const anyPort = "127.0.0.1:0"

// crashDownTime is how long a stand-in upstream stays down after a crash.
const crashDownTime = time.Second

// StandIns holds the stand-in platform and upstreams of a deployment.
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

// StartStandIns starts the platform at platformAddress and the upstreams on free
// loopback ports. Changes of the host list become visible after hostListLag.
func StartStandIns(d deployment.Deployment, platformAddress string, hostListLag time.Duration, seed uint64) (*StandIns, error) {
	s := &StandIns{version: deployment.FirstVersion, Platform: platform.New(platform.Settings{Limits: kv.DefaultLimits(), HostListLag: hostListLag})}
	if err := s.serve(platformAddress); err != nil {
		return nil, err
	}
	startUpstream := func(id model.UpstreamID, shape deployment.Shape, holdings []model.Holding) (string, error) {
		seed++
		u, err := backend.Start(anyPort, backend.Options{
			ID:             id,
			Slots:          shape.Slots,
			MaxConnections: shape.MaxConnections,
			ConnectTime:    shape.ConnectTime,
			Delay:          d.Delay,
			ServiceTime:    shape.ServiceTime,
			Holdings:       holdings,
			Crashes:        true,
			DownTime:       crashDownTime,
			Seed:           seed,
		})
		if err != nil {
			return "", err
		}
		s.Upstreams = append(s.Upstreams, u)
		return u.Address(), nil
	}
	config, err := d.Configure(startUpstream)
	if err != nil {
		s.Close()
		return nil, err
	}
	s.Config = config
	return s, nil
}

// serve starts the HTTP server of the platform and of the control routes.
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
		// Serve always returns an error; the expected one is that of Close.
		_ = s.server.Serve(listener)
	}()
	return nil
}

// PlatformURL returns the platform's base URL.
func (s *StandIns) PlatformURL() string { return "http://" + s.address }

// AddHost adds a host to the platform's host list.
func (s *StandIns) AddHost(host model.HostEntry) {
	s.hosts = append(s.hosts, host)
	s.Platform.SetHosts(event.HostList{Hosts: s.hosts})
}

// Close stops all stand-ins.
func (s *StandIns) Close() {
	s.server.Close()
	s.Platform.Close()
	for _, u := range s.Upstreams {
		u.Close()
	}
}

// RollVersions rolls out one snapshot version after another, each over an interval,
// until the context ends.
func (s *StandIns) RollVersions(ctx context.Context, interval time.Duration) {
	for ctx.Err() == nil {
		s.Roll(ctx, interval)
	}
}

// Roll rolls out the next snapshot version to the upstreams, one after another, spread
// over an interval. Each upstream then holds the new and the previous version. Roll
// returns early when the context ends.
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

// upstreamIDs returns the upstreams' identifiers in the order of Upstreams.
func (s *StandIns) upstreamIDs() []model.UpstreamID {
	var ids []model.UpstreamID
	for _, service := range s.Config.Services {
		for _, u := range service.Upstreams {
			ids = append(ids, u.ID)
		}
	}
	return ids
}
