package statement

import (
	"strings"
	"testing"
)

func TestSyntaxProblemsReportPositionAndExpectation(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"foo", `line 1, column 1: found "foo", expected alter, convict, create, drain, drop, explain, pardon, rotate, show or undrain`},
		{"create sservice x", `line 1, column 8: found "sservice", expected operator, service, upstream or user`},
		{"create user", `line 1, column 12: found the end of the statement, expected a name of at most 64 letters, digits, '-', '_' and '.'`},
		{"create service x for y\n  answer by 3x", `line 2, column 13: found "3x", expected a duration such as 80ms, 1.5s or 10m`},
		{"create service x for y answer after 3s", `line 1, column 31: found "after", expected at or by`},
		{"create service x for y deadline 3s bogus", `line 1, column 36: found "bogus", expected answer, canary, coverage, deadline, hedge, if, rate, refuse, repeat, retry, upstream or the end of the statement`},
		{"create upstream a/b", `line 1, column 20: found the end of the statement, expected at, connections, draining, in, shard or slots`},
		{"create upstream a/b at 10.0.0.1", `line 1, column 24: found "10.0.0.1", expected an IP address with a port, such as 10.0.0.1:9001`},
		{"create upstream a/b at localhost:1", `line 1, column 24: found "localhost:1", expected an IP address with a port, such as 10.0.0.1:9001`},
		{"drain upstream counter-1", `line 1, column 16: found "counter-1", expected an upstream or a pattern such as counter-1/*`},
		{"alter service x deadline 3s", `line 1, column 17: found "deadline", expected set`},
		{"alter service x set hedge budget 3", `line 1, column 34: found "3", expected a percentage such as 5%`},
		{"create operator x key hash abc", `line 1, column 28: found "abc", expected a text in single quotes`},
		{"show services where x ~ 3", `line 1, column 23: found "~", expected like, =, !=, < or >`},
		{"show services\n-- comment\nwhere user =", `line 3, column 13: found the end of the statement, expected a value, in single quotes if it holds spaces`},
		{"drop service x if revision x", `line 1, column 28: found "x", expected the number of a revision`},
		{"convict x fingerprint 3 4", `line 1, column 25: found "4", expected for, if, until or the end of the statement`},
		{"show services; drop service x", "line 1, column 16: mixed_statements: changes cannot be mixed with show or explain statements in one text"},
		{"drop user a if revision 1; drop user b if revision 2", "line 1, column 28: mixed_statements: all statements of one text must name the same base revision"},
		{" -- nothing", "line 1, column 1: found no statement, expected create, alter, drop, drain, undrain, rotate, convict, pardon, show or explain"},
	} {
		_, problems := ParseAll(c.text)
		if len(problems) != 1 {
			t.Errorf("%q: %d problems, want 1", c.text, len(problems))
			continue
		}
		if got := problems[0].Error(); got != c.want {
			t.Errorf("%q:\n got %s\nwant %s", c.text, got, c.want)
		}
	}
}

func TestAllSyntaxProblemsAreReported(t *testing.T) {
	_, problems := ParseAll("create user;\ndrop x\nshow services\ncreate service")
	positions := []Position{{1, 12}, {2, 6}, {4, 15}}
	if len(problems) != len(positions) {
		t.Fatalf("got %d problems, want %d", len(problems), len(positions))
	}
	for i, position := range positions {
		if problems[i].Position != position {
			t.Errorf("problem %d at %s, want %s", i, problems[i].Position, position)
		}
	}
}

func TestStatementsEndAtSemicolonOrNextStatement(t *testing.T) {
	script, failure := Parse("CREATE user a weight 2;;create user b -- first\n\n  drop user\n  c if revision 41\ncreate service s for a\n upstream u\n at [::1]:1 in d slots 1\n connections 2")
	if failure != nil {
		t.Fatal(failure)
	}
	if len(script.Changes) != 4 || script.Base != 41 {
		t.Errorf("got %d changes on revision %d, want 4 on 41", len(script.Changes), script.Base)
	}
}

func TestCompletion(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"cr", "create"},
		{"create ", "operator service upstream user"},
		{"create user ", ""},
		{"create user a w", "weight"},
		{"show services; dr", "drain drop"},
		{"alter service x set answer ", "at by"},
		{"show services where user = a a", "and"},
		{"show h", "history"},
		{"", "alter convict create drain drop explain pardon rotate show undrain"},
		{"create user %%% ", ""},
	} {
		_, candidates := Complete(c.text)
		if got := strings.Join(candidates, " "); got != c.want {
			t.Errorf("%q: %s, want %s", c.text, got, c.want)
		}
	}
}

func TestPatternsMatchNames(t *testing.T) {
	for _, c := range []struct {
		pattern, name string
		want          bool
	}{
		{"counter-*", "counter-10", true},
		{"counter-?", "counter-10", false},
		{"*", "a/b", false},
		{"*/*", "a/b", true},
		{"a*b*c", "a-b-b-c", true},
		{"a*b", "a-c", false},
		{"", "", true},
		{"**", "x", true},
	} {
		if got := Pattern(c.pattern).Match(c.name); got != c.want {
			t.Errorf("%q matches %q: %t, want %t", c.pattern, c.name, got, c.want)
		}
	}
}
