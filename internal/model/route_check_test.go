package model

import (
	"testing"
	"time"
)

// validRoute returns a valid route that gathers two shards.
func validRoute() Route {
	return Route{
		Name: "wide", Host: "h", Prefix: "/wide/", Gather: []ServiceName{"a", "b"}, TopRecords: 5, MinCoverage: 50,
		Repeatable: true, MaxAttempts: 2, Timeout: time.Second, TargetLatency: 100 * time.Millisecond,
	}
}

// TestRouteProblems checks that each invalid field of a route, and a duplicate name
// or prefix, is reported under the name of that field.
func TestRouteProblems(t *testing.T) {
	valid := RouteTable{Routes: []Route{validRoute()}}
	if problems := valid.Validate(); len(problems) > 0 {
		t.Errorf("valid route: got problems %v", problems)
	}
	for field, invalidate := range map[string]func(r *Route){
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
		r := validRoute()
		invalidate(&r)
		problems := (&RouteTable{Routes: []Route{r}}).Validate()
		if len(problems) == 0 || problems[0].Field != field {
			t.Errorf("%s: got problems %v", field, problems)
		}
	}
	duplicates := RouteTable{Routes: []Route{validRoute(), validRoute()}}
	if problems := duplicates.Validate(); len(problems) != 2 || problems[0].Field != "name" || problems[1].Field != "prefix" {
		t.Errorf("two routes with the same name and prefix: got problems %v", problems)
	}
}
