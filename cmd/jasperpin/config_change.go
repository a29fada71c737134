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

// proposal makes the edits to propose from the state that is agreed.
type proposal func(*configlog.State) ([]configdiff.Edit, error)

// propose has a whole file be what is agreed.
func propose(ctx context.Context, c *configClient, args []string) error {
	return c.change(ctx, configlog.Change{}, func(s *configlog.State) ([]configdiff.Edit, error) { return c.editsOfFile(s, args[0]) })
}

// put has one record be as a file has it.
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

// remove deletes one record.
func remove(ctx context.Context, c *configClient, args []string) error {
	return c.changeRecord(ctx, configlog.Key(args[0]), nil)
}

// changeRecord has one record have a value, or with nil be deleted.
func (c *configClient) changeRecord(ctx context.Context, key configlog.Key, value []byte) error {
	if _, _, _, err := key.Split(); err != nil {
		return err
	}
	return c.change(ctx, configlog.Change{}, func(s *configlog.State) ([]configdiff.Edit, error) {
		was, _, exists := s.Get(key)
		if !exists && value == nil {
			return nil, fmt.Errorf("%s: is not there", key)
		}
		if string(was) == string(value) {
			return nil, nil
		}
		return c.ownEdits(s, []configdiff.Edit{{Key: key, Old: was, New: value}})
	})
}

// rollback has all records be as they were at a version.
func rollback(ctx context.Context, c *configClient, args []string) error {
	version, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return fmt.Errorf("VERSION is %q: want a number, see `jasperpin config log`", args[0])
	}
	return c.change(ctx, configlog.Change{Reverts: version}, func(s *configlog.State) (edits []configdiff.Edit, err error) {
		revert, err := s.Revert(version)
		if err != nil {
			return nil, err
		}
		c.base = s.Version()
		for _, r := range revert.Records {
			was, _, _ := s.Get(r.Key)
			edits = append(edits, configdiff.Edit{Key: r.Key, Old: was, New: r.Value})
		}
		return edits, nil
	})
}

// changeResult is what became of a proposal.
type changeResult struct {
	Base     uint64   `json:"Base"`     // the version that it rested on
	Versions []uint64 `json:"Versions"` // of its changes; none where nothing differs
	New      int      `json:"New"`
	Changed  int      `json:"Changed"`
	Deleted  int      `json:"Deleted"`
}

// count counts the records of a proposal by what it does to them.
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

// change proposes edits of what is agreed, as one change or, beyond the limits of one, as several.
// Each has the author, note and time of the command beside what like has.
func (c *configClient) change(ctx context.Context, like configlog.Change, editsOf proposal) error {
	s, majority, err := c.state(ctx)
	if err != nil {
		return err
	}
	if !majority {
		return errNoMajority
	}
	edits, err := editsOf(s)
	if err != nil {
		return err
	}
	result := changeResult{Base: c.base}
	result.count(edits)
	if len(edits) == 0 {
		return c.print(c.out, result, func(w io.Writer) { fmt.Fprintf(w, "nothing is to be changed: version %d is so\n", s.Version()) })
	}
	like.Author, like.Note, like.UnixMillis = c.author, c.note, time.Now().UnixMilli()
	changes, err := configdiff.Plan(s, c.base, edits, like)
	if err != nil {
		return withAdvice(err)
	}
	if len(changes) > 1 {
		fmt.Fprintf(c.notes, "%d records are beyond one change (%d records, %d bytes): %d changes follow each other\n",
			len(edits), configlog.MaxChangeRecords, configlog.MaxChangeBytes, len(changes))
	}
	if result.Versions, err = c.proposeAll(ctx, s.Version(), changes, edits); err != nil {
		return err
	}
	return c.print(c.out, result, func(w io.Writer) {
		last := result.Versions[len(result.Versions)-1]
		fmt.Fprintf(w, "version %d is agreed on: %d records new, %d changed, %d deleted since version %d\n", last, result.New, result.Changed, result.Deleted, result.Base)
	})
}

// proposeAll proposes changes one after another, each of which rests on the one before. It returns
// their versions. Once another change has come in between, the rest is not proposed.
func (c *configClient) proposeAll(ctx context.Context, from uint64, changes []configlog.Change, edits []configdiff.Edit) (versions []uint64, err error) {
	for i, change := range changes {
		version, err := c.proposeOne(ctx, change, edits)
		if err == nil {
			versions = append(versions, version)
			expected, isLast := from+uint64(i)+1, i == len(changes)-1
			if version != expected && !isLast {
				err = fmt.Errorf("%w: one came in between", configlog.ErrConflict)
			}
		}
		switch {
		case err == nil:
		case len(versions) > 0:
			return versions, fmt.Errorf("%d of %d changes are agreed on, up to version %d, each of which holds together; the others are not. "+
				"Propose the same again, without --base, and it does the rest: %w", len(versions), len(changes), versions[len(versions)-1], err)
		default:
			return nil, withAdvice(err)
		}
	}
	return versions, nil
}

// proposeOne proposes one change. Where another came first the error says which.
func (c *configClient) proposeOne(ctx context.Context, change configlog.Change, edits []configdiff.Edit) (version uint64, err error) {
	proposing, cancel := context.WithTimeout(ctx, c.wait)
	defer cancel()
	version, err = c.voters.Propose(proposing, change)
	if !errors.Is(err, configlog.ErrConflict) {
		return version, err
	}
	s, _, stateErr := c.state(ctx)
	if stateErr != nil {
		return 0, err // which says less, and is still true
	}
	if conflict := configdiff.Conflicts(s, change.BaseVersion, edits); conflict != nil {
		return 0, conflict
	}
	return 0, err
}

// withAdvice adds to the error of a change what an operator can do.
func withAdvice(err error) error {
	switch {
	case errors.Is(err, configlog.ErrConflict):
		return fmt.Errorf("nothing is changed: %w\nlook at it with `jasperpin config log` and `jasperpin config diff FILE`, have the file say both, and propose it with the newest version as --base", err)
	case errors.Is(err, consensus.ErrUnknown):
		return fmt.Errorf("%w\n`jasperpin config log` tells whether it came about; proposed again with the same --base it cannot twice", err)
	default:
		return fmt.Errorf("nothing is changed: %w", err)
	}
}
