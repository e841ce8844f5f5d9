package platform_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/platform"
	"github.com/hawthorntack/hawthorntack/internal/standin/kv"
	standin "github.com/hawthorntack/hawthorntack/internal/standin/platform"
)

const (
	callTimeout   = 5 * time.Second
	faultDuration = time.Minute
)

// start starts a stand-in platform with an HTTP server, and returns both and a client.
func start(t *testing.T) (*standin.Server, *httptest.Server, *platform.Client) {
	t.Helper()
	server := standin.New(standin.Settings{Limits: kv.DefaultLimits()})
	e := echo.New()
	server.Register(e)
	web := httptest.NewServer(e)
	t.Cleanup(func() {
		server.Close()
		web.Close()
	})
	return server, web, platform.NewClient(web.URL)
}

// call runs a store call with the timeout callTimeout.
func call(t *testing.T, client *platform.Client, c effect.CallStore) event.StoreResult {
	t.Helper()
	c.Timeout = callTimeout
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	defer cancel()
	return client.Call(ctx, c)
}

func TestStoreOverHTTP(t *testing.T) {
	server, _, client := start(t)
	write := effect.CallStore{Operation: 7, Verb: effect.StoreCreate, Key: "k", Value: []byte("v")}
	if got := call(t, client, write); got.Status != event.StoreOK || got.Operation != 7 {
		t.Fatalf("create = %+v", got)
	}
	if got := call(t, client, write); got.Status != event.StoreConflict || string(got.Items[0].Value) != "v" {
		t.Fatalf("second create = %+v, want a conflict that carries the value", got)
	}
	watched := make(chan event.StoreResult)
	go func() {
		watched <- client.Call(context.Background(), effect.CallStore{Verb: effect.StoreWatch, Key: "w", FromRevision: 1, Timeout: callTimeout})
	}()
	for server.Calls().Watch == 0 {
		time.Sleep(time.Millisecond)
	}
	call(t, client, effect.CallStore{Verb: effect.StoreCreate, Key: "w"})
	if got := <-watched; len(got.Items) != 1 || got.Items[0].Key != "w" {
		t.Fatalf("watch = %+v, want the change of w", got)
	}
}

func TestLostReplyIsUnknown(t *testing.T) {
	server, web, client := start(t)
	server.Schedule(faultDuration, kv.Fault{Kind: kv.LoseReply, Count: 1})
	if got := call(t, client, effect.CallStore{Verb: effect.StoreCreate, Key: "k"}); got.Status != event.StoreUnknown {
		t.Fatalf("lost reply = %+v, want unknown", got)
	}
	if got := call(t, client, effect.CallStore{Verb: effect.StoreGet, Key: "k"}); len(got.Items) != 1 {
		t.Fatalf("get = %+v, want the write that took effect", got)
	}
	server.Schedule(faultDuration, kv.Fault{Kind: kv.Down})
	if got := call(t, client, effect.CallStore{Verb: effect.StoreGet, Key: "k"}); got.Status != event.StoreRejected {
		t.Fatalf("down = %+v, want rejected", got)
	}
	web.Close()
	// A client with an idle connection may write to it before it notices that the
	// server closed it, and then the result is unknown. A new client's connection is
	// refused.
	fresh := platform.NewClient(web.URL)
	if got := call(t, fresh, effect.CallStore{Verb: effect.StoreCreate, Key: "x"}); got.Status != event.StoreRejected {
		t.Fatalf("refused connection = %+v, want rejected", got)
	}
}

func TestHostList(t *testing.T) {
	server, web, client := start(t)
	server.SetHosts(event.HostList{
		Hosts:             []model.HostEntry{{Host: "h1", PeerAddress: "127.0.0.1:1"}},
		DrainingUpstreams: []model.UpstreamID{"s/u"},
	})
	got := client.Hosts(t.Context())
	if got.Failed || len(got.Hosts) != 1 || got.Hosts[0].Host != "h1" || len(got.DrainingUpstreams) != 1 {
		t.Fatalf("hosts = %+v", got)
	}
	web.Close()
	if got := client.Hosts(t.Context()); !got.Failed {
		t.Fatalf("hosts of a closed server = %+v, want failed", got)
	}
}

func TestFaultRequest(t *testing.T) {
	_, web, client := start(t)
	response, err := web.Client().Post(web.URL+"/v1/faults", "application/json", strings.NewReader(`{"kind":"down","for_ms":60000}`))
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if got := call(t, client, effect.CallStore{Verb: effect.StoreGet, Key: "k"}); got.Status != event.StoreRejected {
		t.Fatalf("get = %+v, want rejected while down", got)
	}
}
