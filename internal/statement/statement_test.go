package statement

import (
	"testing"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

const example = `
-- the search front
create user aranguiz weight 2 rate 100.5 in flight 7
create service counter-1 for aranguiz
  answer by 80ms deadline 200ms coverage at least 90%
  repeat yes hedge budget 5% retry budget 10%
  refuse queue 64 wait 40ms
  upstream c1a at 127.0.0.1:9001 in santiago-1 slots 2 connections 25
  upstream c1b at [::1]:9002 in santiago-2 shard s2 slots 2 connections 25 draining
create service print-room for aranguiz repeat no
  upstream p1 at 127.0.0.1:9003 in santiago-1 slots 3 connections 110
drain host entry-1; convict counter-1 fingerprint 00ff until 2026-01-31T18:00:00Z
`

func TestPrintedConfigurationParsesBack(t *testing.T) {
	config := mustApply(t, &model.Config{}, example)
	printed := Print(config)
	again := mustApply(t, &model.Config{}, printed)
	if Print(again) != printed {
		t.Fatalf("printed\n%s\nparsed back to\n%s", printed, Print(again))
	}
}

func mustApply(t *testing.T, config *model.Config, text string) *model.Config {
	t.Helper()
	script, failure := Parse(text)
	if failure != nil {
		t.Fatalf("Parse: %v", failure)
	}
	changed, failure := Apply(config, script.Changes)
	if failure != nil {
		t.Fatalf("Apply: %v", failure)
	}
	return changed
}
