package model

import (
	"fmt"
	"strings"
)

// RouteError reports a route that cannot be used as it stands.
type RouteError struct {
	// Route is the route's name, or its place in the table where it has none.
	Route  string
	Field  string
	Reason string
}

// Error implements error.
func (e *RouteError) Error() string {
	return fmt.Sprintf("route %.100q: %s: %s", e.Route, e.Field, e.Reason)
}

// Validate returns all that is wrong with the table's routes, in their order.
func (t *RouteTable) Validate() []*RouteError {
	var problems []*RouteError
	names := make(map[string]bool, len(t.Routes))
	places := make(map[[2]string]string, len(t.Routes))
	for i := range t.Routes {
		r := &t.Routes[i]
		name := r.Name
		if name == "" {
			name = fmt.Sprintf("number %d", i+1)
		}
		add := func(field, format string, arguments ...any) {
			problems = append(problems, &RouteError{Route: name, Field: field, Reason: fmt.Sprintf(format, arguments...)})
		}
		switch {
		case r.Name == "":
			add("name", "is empty")
		case names[r.Name]:
			add("name", "stands for two routes")
		}
		names[r.Name] = true
		place := [2]string{r.Host, r.Prefix}
		if other, taken := places[place]; taken {
			add("prefix", "route %.100q has the same host and prefix", other)
		}
		places[place] = name
		r.check(add)
	}
	return problems
}

// check adds what is wrong with the route by itself.
func (r *Route) check(add func(field, format string, arguments ...any)) {
	if r.Host == "" {
		add("host", "is empty")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		add("prefix", "%.100q does not begin and end with a slash", r.Prefix)
	}
	if r.Timeout <= 0 {
		add("timeout", "%v is not over 0", r.Timeout)
	}
	if r.TargetLatency <= 0 || r.TargetLatency > r.Timeout {
		add("target latency", "%v is not over 0 and at most the timeout of %v", r.TargetLatency, r.Timeout)
	}
	targets := 0
	for _, given := range []bool{r.Service != "", len(r.Split) > 0, len(r.Gather) > 0} {
		if given {
			targets++
		}
	}
	if targets != 1 {
		add("services", "%d of a service, a split and shards are given, want one", targets)
	}
	for _, part := range r.Split {
		if part.Service == "" || part.Weight < 0 {
			add("split", "service %.100q with weight %g", part.Service, part.Weight)
		}
	}
	if len(r.Gather) > 0 {
		r.checkGather(add)
	}
}

// checkGather adds what is wrong with a route over several shards.
func (r *Route) checkGather(add func(field, format string, arguments ...any)) {
	if !r.Repeatable {
		add("type", "requests to several shards must be repeatable")
	}
	if r.TopRecords < 1 {
		add("top records", "%d is not over 0", r.TopRecords)
	}
	if r.MinCoverage < 0 || r.MinCoverage > 100 {
		add("least coverage", "%g%% is no share", float64(r.MinCoverage))
	}
	seen := make(map[ServiceName]bool, len(r.Gather))
	for _, name := range r.Gather {
		if name == "" || seen[name] {
			add("shards", "service %.100q is empty or stands there twice", name)
		}
		seen[name] = true
	}
}
