package statement

import (
	"reflect"
	"strings"
	"testing"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// hash is the bcrypt hash of a key that is used nowhere.
const hash = "'$2a$10$4H3oqg8ZqYw2zq5Xl1bJ6uO5j3J8Jw8Gk0l6Xq2f2Zs7wq1o1o1o2'"

const base = `
create user a
create user b
create operator root key hash ` + hash + `
create operator anna for a key hash ` + hash + `
create service one for a answer by 80ms deadline 200ms repeat yes
  upstream u at 10.0.0.1:1 in d slots 2 connections 25
  upstream v at 10.0.0.2:1 in d slots 2 connections 25
create service two for b
  upstream u at 10.0.0.3:1 in d slots 1 connections 1
`

func TestChangesThatWouldBreakSomethingAreRefused(t *testing.T) {
	config := mustApply(t, &model.Config{}, base)
	for _, c := range []struct {
		text string
		rule Rule
	}{
		{"drop upstream two/u", RuleNoUpstreams},
		{"drop upstream one/*", RuleNoUpstreams},
		{"drain upstream one/*", RuleNoActive},
		{"alter service one set answer by 300ms", RuleDeadline},
		{"alter service one set deadline 0s", RuleDeadline},
		{"alter service one set coverage at least 101%", RuleCoverage},
		{"alter service one set hedge budget 101%", RuleBudget},
		{"alter service one set retry budget 100.5%", RuleBudget},
		{"alter service two set hedge budget 5%", RuleHedge},
		{"alter service one set repeat no hedge budget 5%", RuleHedge},
		{"alter service one set refuse wait 300ms", RuleQueue},
		{"alter upstream one/u set slots 0", RuleSlots},
		{"alter upstream one/u set slots 26", RuleSlots},
		{"create upstream one/w at 10.0.0.4:1 in d", RuleSlots},
		{"create upstream one/w in d slots 1 connections 1", RuleMissing},
		{"create upstream one/w at 10.0.0.4:1 slots 1 connections 1", RuleMissing},
		{"create upstream one/w at 10.0.0.3:1 in d slots 1 connections 1", RuleDuplicateAddress},
		{"create upstream one/u at 10.0.0.4:1 in d slots 1 connections 1", RuleDuplicate},
		{"create upstream three/u at 10.0.0.4:1 in d slots 1 connections 1", RuleUnknown},
		{"create service one for a", RuleDuplicate},
		{"create service three for nobody", RuleUnknown},
		{"create user a", RuleDuplicate},
		{"create user c weight 0", RuleWeight},
		{"drop user a", RuleInUse},
		{"drop service two; drop operator anna; drop service one; drop user a; drop user a", RuleUnknown},
		{"drop service x*", RuleUnknown},
		{"drop upstream one/x", RuleUnknown},
		{"alter service * where colour = red set rate 3", RuleUnknown},
		{"create operator anna key hash " + hash, RuleDuplicate},
		{"create operator bob for c key hash " + hash, RuleUnknown},
		{"create operator bob key hash 'secret'", RuleKeyHash},
		{"rotate operator anna key hash '" + strings.Replace(strings.Trim(hash, "'"), "$10$", "$04$", 1) + "'", RuleKeyHash},
		{"rotate operator bob key hash " + hash, RuleUnknown},
		{"convict three fingerprint 0f", RuleUnknown},
		{"drop operator root", RuleLockout},
		{"drop operator root; drop operator anna", RuleLockout},
	} {
		script, failure := Parse(c.text)
		if failure != nil {
			t.Errorf("%q: %v", c.text, failure)
			continue
		}
		_, problems := ApplyAll(config, script.Changes)
		if len(problems) == 0 {
			t.Errorf("%q is not refused", c.text)
			continue
		}
		if problems[0].Rule != c.rule {
			t.Errorf("%q is refused by %s, want %s", c.text, problems[0], c.rule)
		}
	}
}

func TestOneTextIsOneChange(t *testing.T) {
	config := mustApply(t, &model.Config{}, base)
	before := Print(config)
	script, _ := Parse("alter service one set rate 5; drop upstream one/u; drop service two; drop service none")
	if changed, failure := Apply(config, script.Changes); failure == nil || changed != nil {
		t.Errorf("a text with a faulty statement gives %v and %v", changed, failure)
	}
	if Print(config) != before {
		t.Error("the given configuration was changed")
	}
	after := mustApply(t, config, "alter service * where user = a set rate 5; drop upstream one/u; drop service two")
	if Print(config) != before {
		t.Error("the given configuration was changed")
	}
	if after.Service("one").Policy.RequestsPerSecond != 5 || len(after.Service("one").Upstreams) != 1 || after.Service("two") != nil {
		t.Errorf("changed to\n%s", Print(after))
	}
}

func TestAcceptedChangesAreReplayedWithoutJudgement(t *testing.T) {
	script, _ := Parse(base)
	applied, _ := Apply(&model.Config{}, script.Changes)
	replayed, failure := Replay(&model.Config{}, script.Changes)
	if failure != nil || !reflect.DeepEqual(applied, replayed) {
		t.Fatalf("applied\n%s\nreplayed\n%s%v", Print(applied), Print(replayed), failure)
	}
	for _, c := range []struct {
		text string
		want bool
	}{
		{"alter service one set answer by 300ms", true},
		{"drop upstream one/*", true},
		{"create user c weight 0; create operator bob key hash 'old'", true},
		{"alter service three set rate 5", false},
		{"create user a", false},
	} {
		script, _ := Parse(c.text)
		if _, failure := Apply(applied, script.Changes); failure == nil {
			t.Errorf("%q is not refused", c.text)
		}
		if _, failure := Replay(applied, script.Changes); (failure == nil) != c.want {
			t.Errorf("%q is replayed: %v, want %t", c.text, failure, c.want)
		}
	}
}

func TestAnOperatorOfAUserChangesOnlyItsServices(t *testing.T) {
	config := mustApply(t, &model.Config{}, base)
	for _, c := range []struct {
		operator model.OperatorName
		text     string
		want     bool
	}{
		{"root", "alter service * set rate 5; drain host h", true},
		{"anna", "alter service one set rate 5", true},
		{"anna", "alter service * set rate 5", false},
		{"anna", "alter service two set rate 5", false},
		{"anna", "drain upstream one/u; undrain upstream one/*", true},
		{"anna", "drain upstream t*/u", false},
		{"anna", "drop upstream two/u", false},
		{"anna", "create upstream two/w at 10.0.0.9:1 in d slots 1 connections 1", false},
		{"anna", "create service three for b", false},
		{"anna", "create service three for a; alter service three set rate 3", true},
		{"anna", "drop service two; create service two for a", false},
		{"anna", "convict two fingerprint 1", false},
		{"anna", "pardon one fingerprint 1", true},
		{"anna", "alter user a set weight 9", false},
		{"anna", "rotate operator anna key hash " + hash, true},
		{"anna", "rotate operator root key hash " + hash, false},
		{"anna", "create operator eve key hash " + hash, false},
		{"anna", "drain host h", false},
		{"nobody", "alter service one set rate 5", false},
		{"", "alter service one set rate 5", false},
	} {
		script, failure := Parse(c.text)
		if failure != nil {
			t.Fatalf("%q: %v", c.text, failure)
		}
		_, failure = Apply(config, Permit(script, c.operator).Changes)
		if permitted := failure == nil; permitted != c.want {
			t.Errorf("%s may %q: %t (%v), want %t", c.operator, c.text, permitted, failure, c.want)
		}
		if failure != nil && failure.Code != model.CodeForbidden {
			t.Errorf("%s may not %q: code %s, want %s", c.operator, c.text, failure.Code, model.CodeForbidden)
		}
	}
}

func TestAnOperatorOfAUserSeesOnlyItsServices(t *testing.T) {
	config := mustApply(t, &model.Config{}, base+"convict two fingerprint 1; convict one fingerprint 2")
	seen := PrintPublic(Visible(config, "anna"))
	for _, hidden := range []string{"two", "user b", "root", "10.0.0.3", "$2a$"} {
		if strings.Contains(seen, hidden) {
			t.Errorf("operator anna sees %q:\n%s", hidden, seen)
		}
	}
	if strings.Contains(PrintPublic(config), "$2a$") || strings.Contains(Diff(&model.Config{}, config), "$2a$") {
		t.Error("a key hash is shown")
	}
	if Visible(config, "root") != config {
		t.Error("operator root does not see all")
	}
}

func TestDurationsOfConvictionsBecomeTimes(t *testing.T) {
	const second = model.Instant(1e9)
	text := "convict one fingerprint ff for 90s -- why\nconvict two fingerprint 1; convict one fingerprint 2 FOR 1m if revision 7"
	script, _ := Parse(text)
	resolved, changed := Resolve(text, script, 1_800_000_000*second)
	want := "convict one fingerprint ff until 2027-01-15T08:01:30Z -- why\nconvict two fingerprint 1; convict one fingerprint 2 until 2027-01-15T08:01:00Z if revision 7"
	if resolved != want {
		t.Errorf("got  %s\nwant %s", resolved, want)
	}
	again, failure := Parse(resolved)
	if failure != nil {
		t.Fatal(failure)
	}
	config := mustApply(t, &model.Config{}, base)
	first, failure := Apply(config, changed.Changes)
	if failure != nil {
		t.Fatal(failure)
	}
	reread, _ := Apply(config, again.Changes)
	if !reflect.DeepEqual(first, reread) || len(first.Blocks) != 3 {
		t.Errorf("the resolved script gives %+v, its text %+v", first.Blocks, reread.Blocks)
	}
	if until := first.Blocks[1].Until; until != 1_800_000_090*second {
		t.Errorf("a conviction of 90 s ends at %d", until)
	}
}

func TestAPardonIsKeptForTheNodes(t *testing.T) {
	config := mustApply(t, &model.Config{}, base+"convict one fingerprint ff")
	config.Revision = 7
	config = mustApply(t, config, "pardon one fingerprint ff; pardon two fingerprint 1; pardon one fingerprint ff")
	want := []model.Unblock{{Service: "two", Fingerprint: 1, Revision: 8}, {Service: "one", Fingerprint: 0xff, Revision: 8}}
	if len(config.Blocks) != 0 || !reflect.DeepEqual(config.Unblocks, want) {
		t.Errorf("convictions %v, pardons %v; want none and %v", config.Blocks, config.Unblocks, want)
	}
}

func TestDiffShowsTheChangedLines(t *testing.T) {
	config := mustApply(t, &model.Config{}, base)
	after := mustApply(t, config, "alter service one set rate 5; drain upstream one/v; drop service two; create user c")
	want := `+ create user c weight 1
  service one
-   refuse queue 64 wait 100ms
+   refuse queue 64 wait 100ms rate 5
-   upstream v at 10.0.0.2:1 in d slots 2 connections 25
+   upstream v at 10.0.0.2:1 in d slots 2 connections 25 draining
- create service two for b
-   answer at deadline deadline 1s coverage at least 100%
-   repeat no hedge budget 0% retry budget 10%
-   refuse queue 64 wait 100ms
-   upstream u at 10.0.0.3:1 in d slots 1 connections 1
`
	if got := Diff(config, after); got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
	if got := Diff(config, config); got != "" {
		t.Errorf("a configuration differs from itself:\n%s", got)
	}
}
