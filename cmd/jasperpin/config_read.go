package main

import (
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"

	"jasperpin/internal/config"
	"jasperpin/internal/configdiff"
	"jasperpin/internal/configlog"
	"jasperpin/internal/consensus"
)

// errNoMajority says that nothing can be agreed on.
var errNoMajority = errors.New("no majority of the voters is reached, so nothing can be agreed on: see `jasperpin cluster status`")

// newest returns which version is the newest, and whether a majority of the voters stands behind it.
func (c *configClient) newest(ctx context.Context) (consensus.ConfigUpdate, error) {
	ctx, cancel := context.WithTimeout(ctx, c.wait)
	defer cancel()
	return c.voters.Config(ctx, math.MaxUint64, 0) // no changes: none is newer than that
}

// state returns what is agreed, verified by its digest, and whether a majority stands behind it. Where
// none does it notes that there may be more.
func (c *configClient) state(ctx context.Context) (s *configlog.State, majority bool, err error) {
	newest, err := c.newest(ctx)
	if err != nil {
		return nil, false, err
	}
	if !newest.Confirmed {
		fmt.Fprintln(c.notes, "no majority of the voters is reached: there may be more than what one of them has")
	}
	if newest.Version == 0 {
		return configlog.New(), newest.Confirmed, nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.wait)
	defer cancel()
	if s, err = c.voters.ConfigSnapshot(ctx, newest.Version-1); err != nil {
		return nil, false, err
	}
	if digest, ok := s.DigestAt(newest.Version); ok && digest != newest.Digest {
		return nil, false, fmt.Errorf("the voters do not tell the same of version %d: %w", newest.Version, configlog.ErrDigestMismatch)
	}
	return s, newest.Confirmed, nil
}

// editsOfFile reads an operator's file, and returns by what it differs from a state.
func (c *configClient) editsOfFile(s *configlog.State, path string) ([]configdiff.Edit, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	records, err := config.Records(filepath.Base(path), text)
	if err != nil {
		return nil, err
	}
	if len(records) == 0 {
		return nil, fmt.Errorf("%s: has no pool and no service: want all that is to be agreed on", filepath.Base(path))
	}
	return c.ownEdits(s, configdiff.Difference(s, records))
}

// ownEdits leaves out edits that would undo what others alone have changed since the base, and sets
// the base to the newest version where the operator named none.
func (c *configClient) ownEdits(s *configlog.State, all []configdiff.Edit) ([]configdiff.Edit, error) {
	if c.base > s.Version() {
		return nil, fmt.Errorf("--base %d: the newest version is %d", c.base, s.Version())
	}
	if c.base == 0 {
		c.base = s.Version()
	}
	return configdiff.Rebase(s, c.base, all)
}
