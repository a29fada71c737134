package main

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// versionCommand returns the `version` command.
func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version of this build", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), version()) },
	}
}

// version returns the module's version and the revision that it was built from, if the build recorded
// both, and the Go version.
func version() string {
	text := "jasperpin"
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return text
	}
	if v := info.Main.Version; v != "" {
		text += " " + v
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			text += " " + s.Value
		}
	}
	return text + " " + info.GoVersion
}
