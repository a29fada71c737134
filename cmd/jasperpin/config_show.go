package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"jasperpin/internal/configdiff"
	"jasperpin/internal/configlog"
)

const (
	// maxShownEdits bounds the records that `config diff` shows in words.
	maxShownEdits = 200
	// maxShownBytes bounds a value that it shows.
	maxShownBytes = 80
	// maxShownKeys bounds the records that `config log` names of one change.
	maxShownKeys = 3
)

// What an edit does to a record, as `config diff --json` prints it.
const (
	editNew     = "new"
	editChanged = "changed"
	editDeleted = "deleted"
)

// editMarks are what stands before a record's key in words.
var editMarks = map[string]string{editNew: "+", editChanged: "~", editDeleted: "-"}

func editKind(e configdiff.Edit) string {
	switch {
	case e.Old == nil:
		return editNew
	case e.New == nil:
		return editDeleted
	default:
		return editChanged
	}
}

// editEntry is an edit as diff prints it.
type editEntry struct {
	Key    configlog.Key      `json:"Key"`
	Edit   string             `json:"Edit"` // editNew, editChanged or editDeleted
	Fields []configdiff.Field `json:"Fields"`
}

// diffResult is what `config diff` prints.
type diffResult struct {
	Version  uint64      `json:"Version"` // that the file is compared with
	Edits    []editEntry `json:"Edits"`
	Conflict string      `json:"Lost,omitempty"` // why the file could not be proposed as it is
}

// diff prints by what a file differs from what is agreed.
func diff(ctx context.Context, c *configClient, args []string) error {
	s, _, err := c.state(ctx)
	if err != nil {
		return err
	}
	edits, err := c.editsOfFile(s, args[0])
	if err != nil {
		return err
	}
	result := diffResult{Version: s.Version(), Edits: []editEntry{}}
	if conflict := configdiff.Conflicts(s, c.base, edits); conflict != nil {
		result.Conflict = conflict.Error()
	}
	for _, e := range edits {
		result.Edits = append(result.Edits, editEntry{e.Key, editKind(e), e.Fields()})
	}
	return c.print(c.out, result, result.write)
}

// write writes the result in words.
func (d *diffResult) write(w io.Writer) {
	for i, e := range d.Edits {
		if i == maxShownEdits {
			fmt.Fprintf(w, "%d more: --json tells all\n", len(d.Edits)-i)
			break
		}
		fmt.Fprintf(w, "%s %s\n", editMarks[e.Edit], e.Key)
		if e.Edit == editDeleted {
			continue
		}
		for _, f := range e.Fields {
			fmt.Fprintf(w, "    %s: %s -> %s\n", f.Path, showValue(f.Old), showValue(f.New))
		}
	}
	fmt.Fprintf(w, "%d records differ from version %d\n", len(d.Edits), d.Version)
	if d.Conflict != "" {
		fmt.Fprintln(w, d.Conflict)
	}
}

// showValue writes a value, cut to a length that can be read.
func showValue(v json.RawMessage) string {
	switch {
	case v == nil:
		return "none"
	case len(v) > maxShownBytes:
		return strings.ToValidUTF8(string(v[:maxShownBytes]), "") + "..."
	default:
		return string(v)
	}
}

// logEntry is an agreed change as log prints it.
type logEntry struct {
	Version uint64          `json:"Version"`
	Base    uint64          `json:"Base"`
	Author  string          `json:"Author"`
	Note    string          `json:"Note"`
	At      time.Time       `json:"At"`
	Reverts uint64          `json:"Reverts,omitempty"`
	Put     []configlog.Key `json:"Put"`
	Deleted []configlog.Key `json:"Deleted"`
}

func newLogEntry(c configlog.Change) logEntry {
	e := logEntry{Version: c.Version, Base: c.BaseVersion, Author: c.Author, Note: c.Note, At: time.UnixMilli(c.UnixMillis).UTC(), Reverts: c.Reverts}
	for _, r := range c.Records {
		if r.Value == nil {
			e.Deleted = append(e.Deleted, r.Key)
		} else {
			e.Put = append(e.Put, r.Key)
		}
	}
	return e
}

// printLog prints the last changes, the newest first.
func (c *configClient) printLog(ctx context.Context, last int) error {
	s, _, err := c.state(ctx)
	if err != nil {
		return err
	}
	changes, _ := s.Since(s.CompactedVersion()) // there always, as the log begins at the floor
	var entries []logEntry
	for i := len(changes) - 1; i >= 0 && len(entries) < last; i-- {
		entries = append(entries, newLogEntry(changes[i]))
	}
	return c.print(c.out, entries, func(w io.Writer) { writeLog(w, entries, s.CompactedVersion()) })
}

// writeLog writes entries as a table, and up to which version changes are forgotten.
func writeLog(w io.Writer, entries []logEntry, floor uint64) {
	table := newTable(w)
	fmt.Fprintln(table, "VERSION\tAUTHOR\tTIME\tNOTE\tRECORDS")
	for _, e := range entries {
		note := e.Note
		if e.Reverts > 0 {
			note = strings.TrimSpace(fmt.Sprintf("back to %d. %s", e.Reverts, note))
		}
		fmt.Fprintf(table, "%d\t%q\t%s\t%q\t%s\n", e.Version, e.Author, e.At.Format(time.RFC3339), note, e.keys())
	}
	_ = table.Flush() // a failure to print shows in the next line
	if floor > 0 {
		fmt.Fprintf(w, "changes up to version %d are not remembered\n", floor)
	}
}

// keys names the records of a change, the first few of them.
func (e *logEntry) keys() string {
	var words []string
	for _, key := range e.Put {
		words = append(words, string(key))
	}
	for _, key := range e.Deleted {
		words = append(words, "-"+string(key))
	}
	if n := len(words); n > maxShownKeys {
		words = append(words[:maxShownKeys], fmt.Sprintf("%d more", n-maxShownKeys))
	}
	return strings.Join(words, " ")
}
