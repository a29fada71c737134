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

// add adds the flags to a command and its subcommands. Awaited says what --wait is for.
func (f *callFlags) add(cmd *cobra.Command, wait time.Duration, awaited string) {
	flags := cmd.PersistentFlags()
	flags.BoolVar(&f.asJSON, "json", false, "answer in JSON")
	flags.DurationVar(&f.wait, "wait", wait, awaited)
}

// print writes a value in JSON, or in words.
func (f *callFlags) print(out io.Writer, value any, words func(io.Writer)) error {
	if !f.asJSON {
		words(out)
		return nil
	}
	return printJSON(out, value)
}

func printJSON(out io.Writer, value any) error {
	if err := json.NewEncoder(out).Encode(value); err != nil {
		return fmt.Errorf("printing the answer: %w", err)
	}
	return nil
}

// fileFlags are the flags of all commands that call the voters which a file names.
type fileFlags struct {
	callFlags
	file string
}

// add adds the flags to a command and its subcommands.
func (f *fileFlags) add(cmd *cobra.Command, about string, wait time.Duration, awaited string) {
	cmd.PersistentFlags().StringVarP(&f.file, "config", "c", "", about)
	_ = cmd.MarkPersistentFlagRequired("config") // fails only on a flag that does not exist
	f.callFlags.add(cmd, wait, awaited)
}

// columnGap is the space between two columns of a table.
const columnGap = 2

// newTable returns a writer that lines up columns, which tabs separate, when it is flushed.
func newTable(out io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
}

// oneLine writes a text of several lines in one.
func oneLine(text string) string { return strings.ReplaceAll(text, "\n", " ") }
