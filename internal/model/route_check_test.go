package model

import (
	"testing"
	"time"
)

// goodRoute returns a route over two shards.
func goodRoute() Route {
	return Route{
		Name: "wide", Host: "h", Prefix: "/wide/", Gather: []ServiceName{"a", "b"}, TopRecords: 5, MinCoverage: 50,
		Repeatable: true, MaxAttempts: 2, Timeout: time.Second, TargetLatency: 100 * time.Millisecond,
	}
}

// TestRouteProblems checks that each wrong field is named.
func TestRouteProblems(t *testing.T) {
	good := RouteTable{Routes: []Route{goodRoute()}}
	if problems := good.Validate(); len(problems) > 0 {
		t.Errorf("a good route has %v", problems)
	}
	for field, spoil := range map[string]func(r *Route){
		"name":           func(r *Route) { r.Name = "" },
		"host":           func(r *Route) { r.Host = "" },
		"prefix":         func(r *Route) { r.Prefix = "/wide" },
		"timeout":        func(r *Route) { r.Timeout, r.TargetLatency = 0, 0 },
		"target latency": func(r *Route) { r.TargetLatency = 2 * time.Second },
		"services":       func(r *Route) { r.Service = "c" },
		"split":          func(r *Route) { r.Gather, r.Split = nil, []WeightedService{{Service: "a", Weight: -1}} },
		"type":           func(r *Route) { r.Repeatable = false },
		"top records":    func(r *Route) { r.TopRecords = 0 },
		"least coverage": func(r *Route) { r.MinCoverage = 101 },
		"shards":         func(r *Route) { r.Gather = []ServiceName{"a", "a"} },
	} {
		r := goodRoute()
		spoil(&r)
		problems := (&RouteTable{Routes: []Route{r}}).Validate()
		if len(problems) == 0 || problems[0].Field != field {
			t.Errorf("%s: got %v", field, problems)
		}
	}
	twice := RouteTable{Routes: []Route{goodRoute(), goodRoute()}}
	if problems := twice.Validate(); len(problems) != 2 || problems[0].Field != "name" || problems[1].Field != "prefix" {
		t.Errorf("two routes of one name and place: %v", problems)
	}
}
