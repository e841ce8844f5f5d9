package main

import (
	"context"
	"errors"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/sirupsen/logrus"

	"github.com/hawthorntack/hawthorntack/internal/demo"
	"github.com/hawthorntack/hawthorntack/internal/deployment"
	"github.com/hawthorntack/hawthorntack/internal/reducer"
)

// demoEntryTTL shortens the graceful shutdown at the end of a script.
const demoEntryTTL = 200 * time.Millisecond

// startDemo implements "startdemo": it starts the nodes and stand-ins of "hawthorntack
// demo" and sets the environment so that ctl and dump call the first node.
func startDemo(ts *testscript.TestScript, _ bool, _ []string) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	running, err := demo.Start(context.Background(), demo.Options{
		Deployment: deployment.Demo(), Nodes: 4, BodyLimit: "1M", Log: log, Seed: 1,
		Tune: func(s *reducer.Settings) { s.Entry.TTL = demoEntryTTL },
	})
	ts.Check(err)
	ts.Defer(func() { running.Stop() })
	ts.Setenv("HAWTHORNTACK_ADMIN", running.AdminAddresses()[0])
}

// example is a command on a page and its expected output.
type example struct {
	command string
	output  []string
	fails   bool
}

// runPage implements "page FILE": it runs the examples of a page in order. A block that
// starts with "```console" holds commands after "$ " and their output, in which "..."
// matches anything; a last line "exit 1" means that the command fails. A block that
// starts with "```text NAME" is written to the file NAME.
func runPage(ts *testscript.TestScript, negated bool, arguments []string) {
	if negated || len(arguments) != 1 {
		ts.Fatalf("usage: page FILE")
	}
	text, err := os.ReadFile(filepath.FromSlash(arguments[0]))
	ts.Check(err)
	blocks := regexp.MustCompile("(?ms)^```(console|text \\S+)\n(.*?)^```$").FindAllStringSubmatch(string(text), -1)
	run := 0
	for _, block := range blocks {
		if name, isFile := strings.CutPrefix(block[1], "text "); isFile {
			ts.Check(os.WriteFile(ts.MkAbs(name), []byte(block[2]), 0o600))
			continue
		}
		for _, e := range examples(block[2]) {
			runExample(ts, e)
			run++
		}
	}
	if run == 0 {
		ts.Fatalf("%s contains no examples", arguments[0])
	}
}

// examples splits a block into commands with their output.
func examples(block string) []example {
	var all []example
	for _, line := range strings.Split(strings.TrimSuffix(block, "\n"), "\n") {
		if command, ok := strings.CutPrefix(line, "$ "); ok {
			all = append(all, example{command: command})
			continue
		}
		last := &all[len(all)-1]
		if line == "exit 1" {
			last.fails = true
			continue
		}
		last.output = append(last.output, line)
	}
	return all
}

// words matches the words of a command, which are separated by spaces outside single
// quotes.
var words = regexp.MustCompile(`(?:[^\s']+|'[^']*')+`)

// runExample runs one example and compares its exit code and output.
func runExample(ts *testscript.TestScript, e example) {
	var arguments []string
	for _, word := range words.FindAllString(e.command, -1) {
		arguments = append(arguments, strings.ReplaceAll(word, "'", ""))
	}
	err := ts.Exec(arguments[0], arguments[1:]...)
	var exit *exec.ExitError
	if err != nil && (!errors.As(err, &exit) || exit.ExitCode() != exitFailed) || e.fails != (err != nil) {
		ts.Fatalf("%s: %v\n%s", e.command, err, ts.ReadFile("stderr"))
	}
	printed := ts.ReadFile("stdout") + ts.ReadFile("stderr")
	if !outputPattern(e.output).MatchString(normalizeSpace(strings.Split(printed, "\n"))) {
		ts.Fatalf("%s printed\n%s", e.command, printed)
	}
}

// normalizeSpace removes empty lines and the alignment of columns.
func normalizeSpace(lines []string) string {
	var text strings.Builder
	for _, line := range lines {
		if fields := strings.Fields(line); len(fields) > 0 {
			text.WriteString(strings.Join(fields, " ") + "\n")
		}
	}
	return text.String()
}

// outputPattern returns a pattern that matches an expected output.
func outputPattern(lines []string) *regexp.Regexp {
	quoted := regexp.QuoteMeta(normalizeSpace(lines))
	quoted = regexp.MustCompile(`(?m)^\\\.\\\.\\\.\n`).ReplaceAllString(quoted, "(?:.*\n)*?")
	quoted = strings.ReplaceAll(quoted, `\.\.\.`, ".*")
	return regexp.MustCompile("^" + quoted + "$")
}
