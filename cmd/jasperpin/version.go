package main

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// versionCommand returns `version`.
func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Say which build this is", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), version()) },
	}
}

// version returns the module's version and the revision that it was built from, as far as the build
// has recorded them.
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
