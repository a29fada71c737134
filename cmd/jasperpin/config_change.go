package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"jasperpin/internal/config"
	"jasperpin/internal/configdiff"
	"jasperpin/internal/configlog"
	"jasperpin/internal/consensus"
)

// editsFunc returns the edits to propose, given the committed state.
type editsFunc func(*configlog.State) ([]configdiff.Edit, error)

// propose proposes the edits that make the committed configuration equal to a file.
func propose(ctx context.Context, c *configClient, args []string) error {
	return c.change(ctx, configlog.Change{}, func(s *configlog.State) ([]configdiff.Edit, error) { return c.editsFromFile(s, args[0]) })
}

// put proposes the contents of a file as the new value of one record.
func put(ctx context.Context, c *configClient, args []string) error {
	text, err := os.ReadFile(args[1])
	if err != nil {
		return fmt.Errorf("reading a record: %w", err)
	}
	r, err := config.Record(configlog.Key(args[0]), filepath.Base(args[1]), text)
	if err != nil {
		return err
	}
	return c.changeRecord(ctx, r.Key, r.Value)
}

// remove proposes to delete one record.
func remove(ctx context.Context, c *configClient, args []string) error {
	return c.changeRecord(ctx, configlog.Key(args[0]), nil)
}

// changeRecord proposes a new value of one record; nil deletes the record.
func (c *configClient) changeRecord(ctx context.Context, key configlog.Key, value []byte) error {
	if _, _, _, err := key.Split(); err != nil {
		return err
	}
	return c.change(ctx, configlog.Change{}, func(s *configlog.State) ([]configdiff.Edit, error) {
		old, _, exists := s.Get(key)
		if !exists && value == nil {
			return nil, fmt.Errorf("%s: unknown record", key)
		}
		if string(old) == string(value) {
			return nil, nil
		}
		return c.rebaseEdits(s, []configdiff.Edit{{Key: key, Old: old, New: value}})
	})
}

// rollback proposes the records of an earlier version as a new version.
func rollback(ctx context.Context, c *configClient, args []string) error {
	version, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return fmt.Errorf("VERSION is %q: want a number from `jasperpin config log`", args[0])
	}
	return c.change(ctx, configlog.Change{Reverts: version}, func(s *configlog.State) (edits []configdiff.Edit, err error) {
		revert, err := s.Revert(version)
		if err != nil {
			return nil, err
		}
		c.base = s.Version()
		for _, r := range revert.Records {
			old, _, _ := s.Get(r.Key)
			edits = append(edits, configdiff.Edit{Key: r.Key, Old: old, New: r.Value})
		}
		return edits, nil
	})
}

// changeResult is the output of a command that proposes changes.
type changeResult struct {
	Base     uint64   `json:"Base"`     // the version that the proposal is based on
	Versions []uint64 `json:"Versions"` // versions of the committed changes; none if nothing differs
	New      int      `json:"New"`
	Changed  int      `json:"Changed"`
	Deleted  int      `json:"Deleted"`
}

// count counts the edited records by the kind of edit.
func (r *changeResult) count(edits []configdiff.Edit) {
	for _, e := range edits {
		switch editKind(e) {
		case editNew:
			r.New++
		case editDeleted:
			r.Deleted++
		case editChanged:
			r.Changed++
		}
	}
}

// change proposes edits of the committed configuration as one change, or as several if the edits exceed the
// limits of one change. Each change has the fields of template, and the author, note and time of the command.
func (c *configClient) change(ctx context.Context, template configlog.Change, makeEdits editsFunc) error {
	state, confirmed, err := c.state(ctx)
	if err != nil {
		return err
	}
	if !confirmed {
		return errNoMajority
	}
	edits, err := makeEdits(state)
	if err != nil {
		return err
	}
	result := changeResult{Base: c.base}
	result.count(edits)
	if len(edits) == 0 {
		return c.print(c.out, result, func(w io.Writer) {
			fmt.Fprintf(w, "nothing to change: version %d already has these records\n", state.Version())
		})
	}
	template.Author, template.Note, template.UnixMillis = c.author, c.note, time.Now().UnixMilli()
	changes, err := configdiff.Plan(state, c.base, edits, template)
	if err != nil {
		return withAdvice(err)
	}
	if len(changes) > 1 {
		fmt.Fprintf(c.notices, "%d records exceed the limits of one change (%d records, %d bytes): proposing %d changes\n",
			len(edits), configlog.MaxChangeRecords, configlog.MaxChangeBytes, len(changes))
	}
	if result.Versions, err = c.proposeAll(ctx, state.Version(), changes, edits); err != nil {
		return err
	}
	return c.print(c.out, result, func(w io.Writer) {
		last := result.Versions[len(result.Versions)-1]
		fmt.Fprintf(w, "version %d is committed: %d new records, %d changed, %d deleted since version %d\n", last, result.New, result.Changed, result.Deleted, result.Base)
	})
}

// proposeAll proposes changes one after another, each based on the one before it, and returns their
// versions. Once another change is committed between two of them, it does not propose the rest.
func (c *configClient) proposeAll(ctx context.Context, stateVersion uint64, changes []configlog.Change, edits []configdiff.Edit) (versions []uint64, err error) {
	for i, change := range changes {
		version, err := c.proposeOne(ctx, change, edits)
		if err == nil {
			versions = append(versions, version)
			expected, isLast := stateVersion+uint64(i)+1, i == len(changes)-1
			if version != expected && !isLast {
				err = fmt.Errorf("%w: another change was committed in between", configlog.ErrConflict)
			}
		}
		switch {
		case err == nil:
		case len(versions) > 0:
			return versions, fmt.Errorf("%d of %d changes are committed, up to version %d, each of them consistent; the others are not committed. "+
				"Run the command again without --base to propose the rest: %w", len(versions), len(changes), versions[len(versions)-1], err)
		default:
			return nil, withAdvice(err)
		}
	}
	return versions, nil
}

// proposeOne proposes one change. If a conflicting change was committed first, the error names it.
func (c *configClient) proposeOne(ctx context.Context, change configlog.Change, edits []configdiff.Edit) (version uint64, err error) {
	proposeCtx, cancel := context.WithTimeout(ctx, c.wait)
	defer cancel()
	version, err = c.voters.Propose(proposeCtx, change)
	if !errors.Is(err, configlog.ErrConflict) {
		return version, err
	}
	s, _, stateErr := c.state(ctx)
	if stateErr != nil {
		return 0, err // it has less detail, but is correct
	}
	if conflict := configdiff.Conflicts(s, change.BaseVersion, edits); conflict != nil {
		return 0, conflict
	}
	return 0, err
}

// withAdvice adds to the error of a change how the operator can proceed.
func withAdvice(err error) error {
	switch {
	case errors.Is(err, configlog.ErrConflict):
		return fmt.Errorf("nothing is changed: %w\nsee the other change with `jasperpin config log` and `jasperpin config diff FILE`, merge it into the file, and propose the file with the newest version as --base", err)
	case errors.Is(err, consensus.ErrUnknown):
		return fmt.Errorf("%w\n`jasperpin config log` shows whether the change was committed; proposing it again with the same --base cannot commit it twice", err)
	default:
		return fmt.Errorf("nothing is changed: %w", err)
	}
}
