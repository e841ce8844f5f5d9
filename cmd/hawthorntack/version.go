package main

import (
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/jessevdk/go-flags"
)

// version is the release version, which the linker may set.
var version = "0.1.0-dev"

// versionCommand prints the version.
type versionCommand struct {
	std streams
}

// addVersion adds the version subcommand.
func addVersion(parser *flags.Parser, std streams) error {
	_, err := parser.AddCommand("version", "Print the version", "Prints the release, the Go version and the source revision.", &versionCommand{std: std})
	return err
}

// Execute implements flags.Commander.
func (c *versionCommand) Execute([]string) error {
	_, err := fmt.Fprintf(c.std.out, "hawthorntack %s %s %s\n", version, runtime.Version(), sourceRevision())
	return err
}

// sourceRevision returns the VCS revision that the build recorded, or "unknown".
func sourceRevision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return "unknown"
}
