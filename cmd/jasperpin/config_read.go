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

// errNoMajority reports that no change can be committed.
var errNoMajority = errors.New("no majority of the voters is reachable, so no change can be committed: see `jasperpin cluster status`")

// newestVersion returns the newest version, and whether a majority of the voters confirmed it.
func (c *configClient) newestVersion(ctx context.Context) (consensus.ConfigUpdate, error) {
	ctx, cancel := context.WithTimeout(ctx, c.wait)
	defer cancel()
	return c.voters.Config(ctx, math.MaxUint64, 0) // no version is newer than this, so the answer has no changes
}

// state returns the committed configuration, verified by its digest, and whether a majority of the voters
// confirmed that it is the newest. Without a majority it writes a warning that it may be stale.
func (c *configClient) state(ctx context.Context) (s *configlog.State, confirmed bool, err error) {
	newest, err := c.newestVersion(ctx)
	if err != nil {
		return nil, false, err
	}
	if !newest.Confirmed {
		fmt.Fprintln(c.notices, "no majority of the voters is reachable: the configuration is one voter's and may be stale")
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
		return nil, false, fmt.Errorf("the voters disagree about version %d: %w", newest.Version, configlog.ErrDigestMismatch)
	}
	return s, newest.Confirmed, nil
}

// editsFromFile reads an operator's file, and returns the edits that make a state equal to it.
func (c *configClient) editsFromFile(s *configlog.State, path string) ([]configdiff.Edit, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	records, err := config.Records(filepath.Base(path), text)
	if err != nil {
		return nil, err
	}
	if len(records) == 0 {
		return nil, fmt.Errorf("%s: has no pool and no service: want the whole configuration", filepath.Base(path))
	}
	return c.rebaseEdits(s, configdiff.Difference(s, records))
}

// rebaseEdits leaves out edits that would undo changes that only others have made since the base. It sets the
// base to the newest version if the operator set none.
func (c *configClient) rebaseEdits(s *configlog.State, all []configdiff.Edit) ([]configdiff.Edit, error) {
	if c.base > s.Version() {
		return nil, fmt.Errorf("--base %d: the newest version is %d", c.base, s.Version())
	}
	if c.base == 0 {
		c.base = s.Version()
	}
	return configdiff.Rebase(s, c.base, all)
}
