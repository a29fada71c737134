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
	// maxShownEdits is the maximum number of edits that `config diff` prints as text.
	maxShownEdits = 200
	// maxShownBytes is the maximum length of a value that `config diff` prints as text.
	maxShownBytes = 80
	// maxShownKeys is the maximum number of records that `config log` names for one change.
	maxShownKeys = 3
)

// Kinds of edit, as `config diff --json` prints them.
const (
	editNew     = "new"
	editChanged = "changed"
	editDeleted = "deleted"
)

// editMarks are the marks before a record's key in text output, by kind of edit.
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

// editEntry is an edit as `config diff` prints it.
type editEntry struct {
	Key    configlog.Key      `json:"Key"`
	Edit   string             `json:"Edit"` // editNew, editChanged or editDeleted
	Fields []configdiff.Field `json:"Fields"`
}

// diffResult is the output of `config diff`.
type diffResult struct {
	Version  uint64      `json:"Version"` // the version that the file is compared with
	Edits    []editEntry `json:"Edits"`
	Conflict string      `json:"Lost,omitempty"` // why the file cannot be proposed as it is; "" if it can
}

// diff prints the differences between the committed configuration and a file.
func diff(ctx context.Context, client *configClient, args []string) error {
	s, _, err := client.state(ctx)
	if err != nil {
		return err
	}
	edits, err := client.editsFromFile(s, args[0])
	if err != nil {
		return err
	}
	result := diffResult{Version: s.Version(), Edits: []editEntry{}}
	if conflict := configdiff.Conflicts(s, client.base, edits); conflict != nil {
		result.Conflict = conflict.Error()
	}
	for _, e := range edits {
		result.Edits = append(result.Edits, editEntry{e.Key, editKind(e), e.Fields()})
	}
	return client.print(client.out, result, result.write)
}

// write writes the result as text.
func (d *diffResult) write(w io.Writer) {
	for i, e := range d.Edits {
		if i == maxShownEdits {
			fmt.Fprintf(w, "%d more: --json lists all\n", len(d.Edits)-i)
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

// showValue returns a value as text, truncated to maxShownBytes.
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

// logEntry is a committed change as `config log` prints it.
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

// printLog prints the last changes, newest first.
func (c *configClient) printLog(ctx context.Context, last int) error {
	s, _, err := c.state(ctx)
	if err != nil {
		return err
	}
	changes, _ := s.ChangesSince(s.CompactedVersion()) // always available: the log begins after that version
	var entries []logEntry
	for i := len(changes) - 1; i >= 0 && len(entries) < last; i-- {
		entries = append(entries, newLogEntry(changes[i]))
	}
	return c.print(c.out, entries, func(w io.Writer) { writeLog(w, entries, s.CompactedVersion()) })
}

// writeLog writes entries as a table, and the version up to which changes were compacted.
func writeLog(w io.Writer, entries []logEntry, compacted uint64) {
	table := newTable(w)
	fmt.Fprintln(table, "VERSION\tAUTHOR\tTIME\tNOTE\tRECORDS")
	for _, e := range entries {
		note := e.Note
		if e.Reverts > 0 {
			note = strings.TrimSpace(fmt.Sprintf("back to %d. %s", e.Reverts, note))
		}
		fmt.Fprintf(table, "%d\t%q\t%s\t%q\t%s\n", e.Version, e.Author, e.At.Format(time.RFC3339), note, e.recordKeys())
	}
	_ = table.Flush() // a write error recurs at the next write
	if compacted > 0 {
		fmt.Fprintf(w, "changes up to version %d are no longer retained\n", compacted)
	}
}

// recordKeys returns the keys of the change's records: the first maxShownKeys keys, and the number of further keys.
func (e *logEntry) recordKeys() string {
	var keys []string
	for _, key := range e.Put {
		keys = append(keys, string(key))
	}
	for _, key := range e.Deleted {
		keys = append(keys, "-"+string(key))
	}
	if n := len(keys); n > maxShownKeys {
		keys = append(keys[:maxShownKeys], fmt.Sprintf("%d more", n-maxShownKeys))
	}
	return strings.Join(keys, " ")
}
