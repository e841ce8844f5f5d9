package statement

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// mustApply applies a text.
func mustApply(t testing.TB, config *model.Config, text string) *model.Config {
	t.Helper()
	script, failure := Parse(text)
	if failure != nil {
		t.Fatalf("parse: %v", failure)
	}
	changed, failure := Apply(config, script.Changes)
	if failure != nil {
		t.Fatalf("apply: %v", failure)
	}
	return changed
}

// checkRoundTrip fails unless a printed configuration makes itself again.
func checkRoundTrip(t interface{ Fatalf(string, ...any) }, config *model.Config) {
	printed := Print(config)
	if printed == "" {
		return
	}
	script, failure := Parse(printed)
	if failure != nil {
		t.Fatalf("the printed configuration does not parse: %v\n%s", failure, printed)
	}
	again, failure := Apply(&model.Config{Revision: config.Revision}, script.Changes)
	if failure != nil {
		t.Fatalf("the printed configuration does not apply: %v\n%s", failure, printed)
	}
	if Print(again) != printed {
		t.Fatalf("printed\n%s\nmakes\n%s", printed, Print(again))
	}
}

func TestPrintedConfigurationMakesItself(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := drawConfig(t)
		script, failure := Parse(Print(config))
		if failure != nil {
			t.Fatalf("parse: %v\n%s", failure, Print(config))
		}
		again, failure := Apply(&model.Config{}, script.Changes)
		if failure != nil {
			t.Fatalf("apply: %v\n%s", failure, Print(config))
		}
		if !reflect.DeepEqual(config, again) {
			t.Fatalf("drawn %+v\nmade  %+v", config, again)
		}
	})
}

// drawConfig draws a valid configuration in its sorted form. Names are drawn
// from words of the language too.
func drawConfig(t *rapid.T) *model.Config {
	name := rapid.OneOf(rapid.StringMatching(`[a-z0-9][a-zA-Z0-9_.]{0,6}(-[a-z0-9]{1,4})?`), rapid.SampledFrom(keywords))
	names := rapid.SliceOfNDistinct(name, 1, 6, rapid.ID[string])
	config := &model.Config{}
	for _, n := range sorted(names.Draw(t, "users")) {
		config.Users = append(config.Users, model.User{
			ID:                model.UserID(n),
			Weight:            rapid.IntRange(1, maxCount).Draw(t, "weight"),
			RequestsPerSecond: rapid.OneOf(rapid.Just(0.0), rapid.Float64Range(1e-3, maxRate)).Draw(t, "rate"),
			MaxInFlight:       rapid.IntRange(0, maxCount).Draw(t, "in flight"),
		})
	}
	address := 0
	for _, n := range sorted(names.Draw(t, "services")) {
		service := model.Service{Name: model.ServiceName(n), User: rapid.SampledFrom(config.Users).Draw(t, "owner").ID, Policy: drawPolicy(t)}
		for _, u := range sorted(names.Draw(t, "upstreams")) {
			address++
			slots := rapid.IntRange(1, maxCount).Draw(t, "slots")
			service.Upstreams = append(service.Upstreams, model.Upstream{
				ID:             model.UpstreamID(n + "/" + u),
				Address:        fmt.Sprintf("10.0.0.1:%d", address),
				FailureDomain:  model.FailureDomain(name.Draw(t, "domain")),
				Shard:          model.ShardID(rapid.OneOf(rapid.Just(""), name).Draw(t, "shard")),
				Slots:          slots,
				MaxConnections: rapid.IntRange(slots, maxCount).Draw(t, "connections"),
				Draining:       rapid.Bool().Draw(t, "draining"),
			})
		}
		config.Services = append(config.Services, service)
	}
	for _, n := range sorted(names.Draw(t, "hosts")) {
		config.LeavingHosts = append(config.LeavingHosts, model.HostID(n))
	}
	for _, service := range config.Services {
		config.Blocks = append(config.Blocks, model.Block{
			Service:     service.Name,
			Fingerprint: model.Fingerprint(rapid.Uint64().Draw(t, "fingerprint")),
			Until:       model.Instant(rapid.OneOf(rapid.Just(int64(0)), rapid.Int64Range(1<<60, 1<<61)).Draw(t, "until")),
		})
		config.Operators = append(config.Operators, model.Operator{
			Name: model.OperatorName(service.Name), User: service.User, KeyHash: hash[1 : len(hash)-1],
		})
	}
	config.Operators[rapid.IntRange(0, len(config.Operators)-1).Draw(t, "unlimited")].User = ""
	return config
}

// drawPolicy draws a valid policy.
func drawPolicy(t *rapid.T) model.Policy {
	duration := func(least, most time.Duration) time.Duration {
		return time.Duration(rapid.Int64Range(int64(least), int64(most)).Draw(t, "duration"))
	}
	percent := func() model.Percent { return model.Percent(rapid.Float64Range(0, 100).Draw(t, "percent")) }
	policy := model.Policy{
		Deadline:          duration(1, time.Hour),
		MinCoverage:       percent(),
		Repeatable:        rapid.Bool().Draw(t, "repeatable"),
		NoCanary:          rapid.Bool().Draw(t, "no_canary"),
		QueueLimit:        rapid.IntRange(0, maxCount).Draw(t, "queue"),
		RequestsPerSecond: rapid.OneOf(rapid.Just(0.0), rapid.Float64Range(1e-3, maxRate)).Draw(t, "rate"),
	}
	policy.RetryBudget = percent()
	policy.AnswerBy = duration(0, policy.Deadline)
	policy.QueueWait = duration(0, policy.Deadline)
	if policy.Repeatable {
		policy.HedgeBudget = percent()
	}
	return policy
}

// sorted sorts drawn names.
func sorted(names []string) []string {
	slices.Sort(names)
	return names
}

func TestAnOperatorOfAUserNeverChangesWhatIsOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := drawConfig(t)
		operator := rapid.SampledFrom(config.Operators).Draw(t, "operator")
		if operator.User == "" {
			return
		}
		script, failure := Parse(drawChanges(t, config))
		if failure != nil {
			t.Fatalf("parse: %v", failure)
		}
		changed, failure := Apply(config, Permit(script, operator.Name).Changes)
		if failure != nil {
			return
		}
		before, after := othersOf(config, operator), othersOf(changed, operator)
		if !reflect.DeepEqual(before, after) {
			t.Fatalf("operator %s of user %s changed others:\n%s", operator.Name, operator.User, Diff(before, after))
		}
	})
}

// drawChanges draws statements about what is in a configuration.
func drawChanges(t *rapid.T, config *model.Config) string {
	service := func() string { return string(rapid.SampledFrom(config.Services).Draw(t, "service").Name) }
	pattern := func() string { return service()[:1] + "*" }
	name := rapid.OneOf(rapid.Custom(func(t *rapid.T) string { return service() }), rapid.Custom(func(t *rapid.T) string { return pattern() }))
	templates := []string{
		"alter service %s set rate 7", "drop service %s", "alter upstream %s/* set shard x",
		"drain upstream %s/*", "drop upstream %s/a*", "alter service %s where user != a set rate 8",
		"convict %s fingerprint 1", "pardon %s fingerprint 2", "drop operator %s", "drop user %s",
		"create service new for %s", "alter user %s set weight 5", "drain host %s",
	}
	var text string
	for range rapid.IntRange(1, 3).Draw(t, "statements") {
		template := rapid.SampledFrom(templates).Draw(t, "template")
		subject := service()
		if strings.Contains(template, "service %s") || strings.Contains(template, "/") {
			subject = name.Draw(t, "name")
		}
		text += fmt.Sprintf(template, subject) + ";"
	}
	return text
}

// othersOf returns what an operator of a user may not change.
func othersOf(config *model.Config, operator model.Operator) *model.Config {
	others := &model.Config{Users: config.Users, Operators: config.Operators, LeavingHosts: config.LeavingHosts}
	owned := Visible(config, operator.Name)
	for _, service := range config.Services {
		if owned.Service(service.Name) == nil {
			others.Services = append(others.Services, service)
		}
	}
	for _, conviction := range config.Blocks {
		if owned.Service(conviction.Service) == nil {
			others.Blocks = append(others.Blocks, conviction)
		}
	}
	return others
}

func FuzzParse(f *testing.F) {
	f.Add(base)
	f.Add("alter service * where user = a and rate < 5 set answer at deadline refuse queue 3 wait 2ms if revision 41")
	f.Add("drain upstream one/u; undrain host 'h'\nconvict one fingerprint ff for 10m")
	f.Add("show upstreams one/* where state like d*; explain one")
	f.Add("rotate operator anna key hash " + hash + " -- comment\n;;pardon one fingerprint 0")
	config := mustApply(f, &model.Config{}, base)
	f.Fuzz(func(t *testing.T, text string) {
		script, problems := ParseAll(text)
		if len(problems) > 0 {
			return
		}
		_, resolved := Resolve(text, script, 1<<60)
		changed, failure := Apply(config, resolved.Changes)
		if failure == nil {
			checkRoundTrip(t, changed)
		}
	})
}

func BenchmarkApplyAtTheTarget(b *testing.B) {
	text := "create user a\n"
	for service := range 1400 {
		text += fmt.Sprintf("create service s%d for a\n", service)
		for upstream := range 10 {
			text += fmt.Sprintf("upstream u%d at 10.%d.%d.%d:80 in d slots 3 connections 40\n", upstream, service/250, service%250, upstream)
		}
	}
	start := time.Now()
	config := mustApply(b, &model.Config{}, text)
	b.Logf("%d bytes parsed and applied in %s", len(text), time.Since(start))
	script, _ := Parse("alter service s700 set rate 5")
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if _, failure := Apply(config, script.Changes); failure != nil {
			b.Fatal(failure)
		}
	}
}
