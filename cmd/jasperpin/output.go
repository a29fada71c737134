package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
)

// callFlags are the flags of all commands that call another process.
type callFlags struct {
	asJSON bool
	wait   time.Duration
}

// add adds the flags to a command and its subcommands, with the default and the help text of --wait.
func (f *callFlags) add(cmd *cobra.Command, wait time.Duration, waitHelp string) {
	flags := cmd.PersistentFlags()
	flags.BoolVar(&f.asJSON, "json", false, "print JSON")
	flags.DurationVar(&f.wait, "wait", wait, waitHelp)
}

// print writes a value as JSON with --json, and otherwise the text that writeText writes.
func (f *callFlags) print(out io.Writer, value any, writeText func(io.Writer)) error {
	if !f.asJSON {
		writeText(out)
		return nil
	}
	return printJSON(out, value)
}

func printJSON(out io.Writer, value any) error {
	if err := json.NewEncoder(out).Encode(value); err != nil {
		return fmt.Errorf("printing the result: %w", err)
	}
	return nil
}

// fileFlags are the flags of all commands that call the voters listed in a configuration file.
type fileFlags struct {
	callFlags
	file string
}

// add adds the flags to a command and its subcommands, with the help text of -c, and the default and the
// help text of --wait.
func (f *fileFlags) add(cmd *cobra.Command, fileHelp string, wait time.Duration, waitHelp string) {
	cmd.PersistentFlags().StringVarP(&f.file, "config", "c", "", fileHelp)
	_ = cmd.MarkPersistentFlagRequired("config") // fails only if the flag does not exist
	f.callFlags.add(cmd, wait, waitHelp)
}

// columnGap is the space between two columns of a table.
const columnGap = 2

// newTable returns a writer that aligns columns separated by tabs when it is flushed.
func newTable(out io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
}

// oneLine replaces the line breaks of a text with spaces.
func oneLine(text string) string { return strings.ReplaceAll(text, "\n", " ") }
