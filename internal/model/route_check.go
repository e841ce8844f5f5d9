package model

import (
	"fmt"
	"strings"
)

// RouteError reports an invalid field of a route.
type RouteError struct {
	// Route is the route's name, or its position in the table if it has none.
	Route  string
	Field  string
	Reason string
}

// Error implements error.
func (e *RouteError) Error() string {
	return fmt.Sprintf("route %.100q: %s: %s", e.Route, e.Field, e.Reason)
}

// Validate validates the table and returns all errors, in the order of the routes.
func (t *RouteTable) Validate() []*RouteError {
	var problems []*RouteError
	names := make(map[string]bool, len(t.Routes))
	routeByPrefix := make(map[[2]string]string, len(t.Routes))
	for i := range t.Routes {
		r := &t.Routes[i]
		name := r.Name
		if name == "" {
			name = fmt.Sprintf("number %d", i+1)
		}
		addError := func(field, format string, arguments ...any) {
			problems = append(problems, &RouteError{Route: name, Field: field, Reason: fmt.Sprintf(format, arguments...)})
		}
		switch {
		case r.Name == "":
			addError("name", "is empty")
		case names[r.Name]:
			addError("name", "is used by more than one route")
		}
		names[r.Name] = true
		hostAndPrefix := [2]string{r.Host, r.Prefix}
		if other, found := routeByPrefix[hostAndPrefix]; found {
			addError("prefix", "route %.100q has the same host and prefix", other)
		}
		routeByPrefix[hostAndPrefix] = name
		r.validate(addError)
	}
	return problems
}

// validate checks the fields of one route and passes every error to addError.
func (r *Route) validate(addError func(field, format string, arguments ...any)) {
	if r.Host == "" {
		addError("host", "is empty")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		addError("prefix", "%.100q does not begin and end with a slash", r.Prefix)
	}
	if r.Timeout <= 0 {
		addError("timeout", "%v is not over 0", r.Timeout)
	}
	if r.TargetLatency <= 0 || r.TargetLatency > r.Timeout {
		addError("target latency", "%v must be over 0 and at most the timeout of %v", r.TargetLatency, r.Timeout)
	}
	targets := 0
	for _, isSet := range []bool{r.Service != "", len(r.Split) > 0, len(r.Gather) > 0} {
		if isSet {
			targets++
		}
	}
	if targets != 1 {
		addError("services", "%d of service, split and shards are set, want exactly one", targets)
	}
	for _, target := range r.Split {
		if target.Service == "" || target.Weight < 0 {
			addError("split", "service %.100q with weight %g: a service must be named and its weight must not be negative", target.Service, target.Weight)
		}
	}
	if len(r.Gather) > 0 {
		r.validateGather(addError)
	}
}

// validateGather checks the fields of a route that gathers the replies of several
// shards and passes every error to addError.
func (r *Route) validateGather(addError func(field, format string, arguments ...any)) {
	if !r.Repeatable {
		addError("type", "requests to several shards must be repeatable")
	}
	if r.TopRecords < 1 {
		addError("top records", "%d is not over 0", r.TopRecords)
	}
	if r.MinCoverage < 0 || r.MinCoverage > 100 {
		addError("least coverage", "%g%% is not between 0 and 100", float64(r.MinCoverage))
	}
	seen := make(map[ServiceName]bool, len(r.Gather))
	for _, name := range r.Gather {
		if name == "" || seen[name] {
			addError("shards", "service %.100q is empty or listed twice", name)
		}
		seen[name] = true
	}
}
