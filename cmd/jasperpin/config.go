package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"os/user"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"jasperpin/internal/config"
	"jasperpin/internal/configdiff"
	"jasperpin/internal/configlog"
	"jasperpin/internal/consensus"
)

// configCalls is where and how the agreed configuration is asked for and changed.
type configCalls struct {
	file   string
	asJSON bool
	wait   time.Duration
	author string
	note   string
	base   uint64
}

// maxShown bounds the records that a table shows.
const maxShown = 200

// configCommand is the operators' side of the agreed configuration.
func configCommand() *cobra.Command {
	g := &configCalls{}
	cmd := &cobra.Command{
		Use: "config", Short: "Look at the configuration that the voters agree on, change it, carry it to nodes",
		Long: "Look at the configuration that the voters agree on, change it, carry it to nodes. The file (-c)\n" +
			"says where the voters and the relays are, and which certificates to show them.\n" +
			"Exit 0 where it is done or nothing is to do, 1 with a mistake or where nobody answers, 2 where\n" +
			"another's change came first, 3 where it is not known what became of a change.",
		Example: "  jasperpin config diff services.toml -c ops.toml\n" +
			"  jasperpin config propose services.toml --base 41 --note \"orders: two servers more\" -c ops.toml\n" +
			"  jasperpin config put pool/orders pool.toml -c ops.toml\n  jasperpin config rollback 41 -c ops.toml",
	}
	f := cmd.PersistentFlags()
	f.StringVarP(&g.file, "config", "c", "", "the file with [cluster] and [config] tables")
	f.BoolVar(&g.asJSON, "json", false, "answer in JSON")
	f.DurationVar(&g.wait, "wait", 30*time.Second, "for the voters' answers, each")
	_ = cmd.MarkPersistentFlagRequired("config") // it is there

	ask := func(use, about string, args cobra.PositionalArgs, call func(*configCall, []string) error) *cobra.Command {
		return &cobra.Command{Use: use, Short: about, Args: args, RunE: func(cmd *cobra.Command, words []string) error {
			d, err := config.LoadDistribution(g.file)
			if err != nil {
				return err
			}
			c, err := consensus.NewClient(d.Cluster.Voters, d.Cluster.Files)
			if err != nil {
				return err
			}
			defer c.Close()
			return call(&configCall{configCalls: g, ctx: cmd.Context(), voters: c, site: d, out: cmd.OutOrStdout(), notes: cmd.ErrOrStderr()}, words)
		}}
	}
	signed := func(cmd *cobra.Command) *cobra.Command {
		cmd.Flags().StringVar(&g.author, "author", userName(), "who makes the change")
		cmd.Flags().StringVar(&g.note, "note", "", "what it is for")
		return cmd
	}
	based := func(cmd *cobra.Command) *cobra.Command {
		cmd.Flags().Uint64Var(&g.base, "base", 0, "the version that the file was made from; 0 for the newest")
		return cmd
	}
	var last, worst int
	log := ask("log", "The last changes, the newest first", cobra.NoArgs, func(c *configCall, _ []string) error { return c.log(last) })
	log.Flags().IntVarP(&last, "last", "n", 20, "how many")
	status := ask("status", "What is agreed, how far each relay and its nodes are, and why not further", cobra.NoArgs, func(c *configCall, _ []string) error { return c.status(worst) })
	status.Flags().IntVar(&worst, "worst", 20, "how many nodes are shown, the worst first")
	cmd.AddCommand(
		based(signed(ask("propose FILE", "Have what a file says be all that is agreed", cobra.ExactArgs(1), (*configCall).propose))),
		based(signed(ask("put KEY FILE", "Have one record be as a file in TOML has its table", cobra.ExactArgs(2), (*configCall).put))),
		based(signed(ask("delete KEY", "Delete one record", cobra.ExactArgs(1), (*configCall).remove))),
		based(ask("diff FILE", "Show by which records and fields a file differs from what is agreed", cobra.ExactArgs(1), (*configCall).diff)),
		log,
		signed(ask("rollback VERSION", "Have all records be as they were at a version, by a new one", cobra.ExactArgs(1), (*configCall).rollback)),
		status,
		&cobra.Command{Use: "relay", Short: "Carry the configuration from the voters to nodes until SIGTERM", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			d, err := config.LoadDistribution(g.file)
			if err != nil {
				return err
			}
			if d.Own.Listen == "" {
				return fmt.Errorf("%s is no relay's: want config.listen", g.file)
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			return runRelay(ctx, d, slog.New(slog.NewTextHandler(cmd.ErrOrStderr(), nil)))
		}},
	)
	return cmd
}

// userName is who runs the command, as far as the system tells.
func userName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}

// configCall is one call.
type configCall struct {
	*configCalls
	ctx        context.Context
	voters     *consensus.Client
	site       *config.Distribution
	out, notes io.Writer
}

// errNoMajority says that nothing can be agreed on.
var errNoMajority = errors.New("no majority of the voters is reached, so nothing can be agreed on: see `jasperpin cluster status`")

// newest tells which version is the newest, and whether a majority stands behind that.
func (c *configCall) newest() (consensus.News, error) {
	ctx, cancel := context.WithTimeout(c.ctx, c.wait)
	defer cancel()
	return c.voters.Config(ctx, math.MaxUint64, 0) // no changes: just how far it is
}

// state reads what is agreed, verified by its digest. Where no majority stands behind it, that is noted:
// there may be more.
func (c *configCall) state() (s *configlog.State, agreed bool, err error) {
	n, err := c.newest()
	if err != nil {
		return nil, false, err
	}
	if !n.Agreed {
		fmt.Fprintln(c.notes, "no majority of the voters is reached: there may be more than what one of them has")
	}
	if n.Version == 0 {
		return configlog.New(), n.Agreed, nil
	}
	ctx, cancel := context.WithTimeout(c.ctx, c.wait)
	defer cancel()
	if s, err = c.voters.ConfigSnapshot(ctx, n.Version-1); err != nil {
		return nil, false, err
	}
	if d, ok := s.DigestAt(n.Version); ok && d != n.Digest {
		return nil, false, fmt.Errorf("the voters do not tell the same of version %d: %w", n.Version, configlog.ErrDigest)
	}
	return s, n.Agreed, nil
}

// read reads an operator's file, and by what it differs from a state.
func (c *configCall) read(s *configlog.State, path string) ([]configdiff.Edit, error) {
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
	return c.edits(s, configdiff.Difference(s, records))
}

// edits leaves out what others have changed since the base alone.
func (c *configCall) edits(s *configlog.State, all []configdiff.Edit) ([]configdiff.Edit, error) {
	if c.base > s.Version() {
		return nil, fmt.Errorf("--base %d: the newest version is %d", c.base, s.Version())
	}
	if c.base == 0 {
		c.base = s.Version()
	}
	return configdiff.Keep(s, c.base, all)
}

func (c *configCall) propose(words []string) error {
	return c.change(func(s *configlog.State) ([]configdiff.Edit, error) { return c.read(s, words[0]) })
}

func (c *configCall) put(words []string) error {
	text, err := os.ReadFile(words[1])
	if err != nil {
		return fmt.Errorf("reading a record: %w", err)
	}
	r, err := config.Record(configlog.Key(words[0]), filepath.Base(words[1]), text)
	if err != nil {
		return err
	}
	return c.one(r.Key, r.Value)
}

func (c *configCall) remove(words []string) error { return c.one(configlog.Key(words[0]), nil) }

// one has one record be so.
func (c *configCall) one(key configlog.Key, is []byte) error {
	if _, _, _, err := key.Split(); err != nil {
		return err
	}
	return c.change(func(s *configlog.State) ([]configdiff.Edit, error) {
		was, _, there := s.Get(key)
		if !there && is == nil {
			return nil, fmt.Errorf("%s: is not there", key)
		}
		e := configdiff.Edit{Key: key, Was: was, Is: is}
		if string(was) == string(is) {
			return nil, nil
		}
		return c.edits(s, []configdiff.Edit{e})
	})
}

func (c *configCall) rollback(words []string) error {
	to, err := strconv.ParseUint(words[0], 10, 64)
	if err != nil {
		return fmt.Errorf("VERSION is %q: want a number, see `jasperpin config log`", words[0])
	}
	return c.revise(configlog.Change{Reverts: to}, func(s *configlog.State) (edits []configdiff.Edit, err error) {
		back, err := s.Revert(to)
		if err != nil {
			return nil, err
		}
		c.base = s.Version()
		for _, r := range back.Records {
			was, _, _ := s.Get(r.Key)
			edits = append(edits, configdiff.Edit{Key: r.Key, Was: was, Is: r.Value})
		}
		return edits, nil
	})
}

func (c *configCall) change(make func(*configlog.State) ([]configdiff.Edit, error)) error {
	return c.revise(configlog.Change{}, make)
}

// agreed is what became of a proposal.
type agreed struct {
	Base     uint64   `json:"Base"`     // the version that it rested on
	Versions []uint64 `json:"Versions"` // of its changes; none where nothing differs
	New      int      `json:"New"`
	Changed  int      `json:"Changed"`
	Deleted  int      `json:"Deleted"`
}

// revise proposes edits of what is agreed, as one change or, beyond the bounds of one, as several.
func (c *configCall) revise(like configlog.Change, make func(*configlog.State) ([]configdiff.Edit, error)) error {
	s, majority, err := c.state()
	if err != nil {
		return err
	}
	if !majority {
		return errNoMajority
	}
	edits, err := make(s)
	if err != nil {
		return err
	}
	is := agreed{Base: c.base}
	for _, e := range edits {
		switch {
		case e.Was == nil:
			is.New++
		case e.Is == nil:
			is.Deleted++
		default:
			is.Changed++
		}
	}
	if len(edits) == 0 {
		return c.tell(is, func(w io.Writer) { fmt.Fprintf(w, "nothing is to be changed: version %d is so\n", s.Version()) })
	}
	from := s.Version()
	like.Author, like.Note, like.At = c.author, c.note, time.Now().UnixMilli()
	changes, err := configdiff.Plan(s, c.base, edits, like)
	if err != nil {
		return onwards(err)
	}
	if len(changes) > 1 {
		fmt.Fprintf(c.notes, "%d records are beyond one change (%d records, %d bytes): %d changes follow each other\n",
			len(edits), configlog.MaxChangeRecords, configlog.MaxChangeBytes, len(changes))
	}
	for i, change := range changes {
		version, err := c.agree(change, edits)
		if err == nil {
			is.Versions = append(is.Versions, version)
			if version != from+uint64(i)+1 && i < len(changes)-1 { // the others rest on what is no more
				err = fmt.Errorf("%w: one came in between", configlog.ErrConflict)
			}
		}
		if err != nil && i > 0 || err != nil && len(is.Versions) > 0 {
			return fmt.Errorf("%d of %d changes are agreed on, up to version %d, each of which holds together; the others are not. "+
				"Propose the same again, without --base, and it does the rest: %w", len(is.Versions), len(changes), is.Versions[len(is.Versions)-1], err)
		}
		if err != nil {
			return onwards(err)
		}
	}
	return c.tell(is, func(w io.Writer) {
		last := is.Versions[len(is.Versions)-1]
		fmt.Fprintf(w, "version %d is agreed on: %d records new, %d changed, %d deleted since version %d\n", last, is.New, is.Changed, is.Deleted, is.Base)
	})
}

// agree has one change proposed. Where another came first, it is found which.
func (c *configCall) agree(change configlog.Change, edits []configdiff.Edit) (version uint64, err error) {
	ctx, cancel := context.WithTimeout(c.ctx, c.wait)
	defer cancel()
	version, err = c.voters.Propose(ctx, change)
	if !errors.Is(err, configlog.ErrConflict) {
		return version, err
	}
	if s, _, again := c.state(); again == nil {
		if lost := configdiff.Conflicts(s, change.Base, edits); lost != nil {
			return 0, lost
		}
	}
	return 0, err
}

// onwards adds how to go on.
func onwards(err error) error {
	switch {
	case errors.Is(err, configlog.ErrConflict):
		return fmt.Errorf("nothing is changed: %w\nlook at it with `jasperpin config log` and `jasperpin config diff FILE`, have the file say both, and propose it with the newest version as --base", err)
	case errors.Is(err, consensus.ErrUnknown):
		return fmt.Errorf("%w\n`jasperpin config log` tells whether it came about; proposed again with the same --base it cannot twice", err)
	}
	return fmt.Errorf("nothing is changed: %w", err)
}

// edit is an edit as diff tells it.
type edit struct {
	Key    configlog.Key      `json:"Key"`
	Edit   string             `json:"Edit"` // "new", "changed" or "deleted"
	Fields []configdiff.Field `json:"Fields"`
}

func (c *configCall) diff(words []string) error {
	s, _, err := c.state()
	if err != nil {
		return err
	}
	edits, err := c.read(s, words[0])
	if err != nil {
		return err
	}
	is := struct {
		Version uint64 `json:"Version"` // that the file is held against
		Edits   []edit `json:"Edits"`
		Lost    string `json:"Lost,omitempty"` // why it could not be proposed so
	}{Version: s.Version(), Edits: []edit{}}
	if lost := configdiff.Conflicts(s, c.base, edits); lost != nil {
		is.Lost = lost.Error()
	}
	for _, e := range edits {
		what := edit{e.Key, "changed", e.Fields()}
		switch {
		case e.Was == nil:
			what.Edit = "new"
		case e.Is == nil:
			what.Edit = "deleted"
		}
		is.Edits = append(is.Edits, what)
	}
	return c.tell(is, func(w io.Writer) {
		for i, e := range is.Edits {
			if i == maxShown {
				fmt.Fprintf(w, "%d more: --json tells all\n", len(is.Edits)-i)
				break
			}
			fmt.Fprintf(w, "%s %s\n", map[string]string{"new": "+", "changed": "~", "deleted": "-"}[e.Edit], e.Key)
			for _, f := range e.Fields {
				if e.Edit != "deleted" {
					fmt.Fprintf(w, "    %s: %s -> %s\n", f.Path, short(f.Was), short(f.Is))
				}
			}
		}
		fmt.Fprintf(w, "%d records differ from version %d\n", len(is.Edits), is.Version)
		if is.Lost != "" {
			fmt.Fprintln(w, is.Lost)
		}
	})
}

// short words a value so that it can be read.
func short(v json.RawMessage) string {
	const most = 80
	switch {
	case v == nil:
		return "none"
	case len(v) > most:
		return strings.ToValidUTF8(string(v[:most]), "") + "..."
	}
	return string(v)
}

// past is an agreed change as log tells it.
type past struct {
	Version uint64          `json:"Version"`
	Base    uint64          `json:"Base"`
	Author  string          `json:"Author"`
	Note    string          `json:"Note"`
	At      time.Time       `json:"At"`
	Reverts uint64          `json:"Reverts,omitempty"`
	Put     []configlog.Key `json:"Put"`
	Deleted []configlog.Key `json:"Deleted"`
}

func (c *configCall) log(last int) error {
	s, _, err := c.state()
	if err != nil {
		return err
	}
	all, _ := s.Since(s.Floor()) // it is remembered from there on
	var is []past
	for i := len(all) - 1; i >= 0 && len(is) < last; i-- {
		p := past{Version: all[i].Version, Base: all[i].Base, Author: all[i].Author, Note: all[i].Note, At: time.UnixMilli(all[i].At).UTC(), Reverts: all[i].Reverts}
		for _, r := range all[i].Records {
			if r.Value == nil {
				p.Deleted = append(p.Deleted, r.Key)
			} else {
				p.Put = append(p.Put, r.Key)
			}
		}
		is = append(is, p)
	}
	return c.tell(is, func(w io.Writer) {
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintln(t, "VERSION\tAUTHOR\tTIME\tNOTE\tRECORDS")
		for _, p := range is {
			note := p.Note
			if p.Reverts > 0 {
				note = strings.TrimSpace(fmt.Sprintf("back to %d. %s", p.Reverts, note))
			}
			fmt.Fprintf(t, "%d\t%q\t%s\t%q\t%s\n", p.Version, p.Author, p.At.Format(time.RFC3339), note, touched(p))
		}
		_ = t.Flush()
		if s.Floor() > 0 {
			fmt.Fprintf(w, "changes up to version %d are not remembered\n", s.Floor())
		}
	})
}

// touched words the records of a change, the first few by name.
func touched(p past) string {
	const most = 3
	var words []string
	for _, k := range p.Put {
		words = append(words, string(k))
	}
	for _, k := range p.Deleted {
		words = append(words, "-"+string(k))
	}
	if n := len(words); n > most {
		words = append(words[:most], fmt.Sprintf("%d more", n-most))
	}
	return strings.Join(words, " ")
}

// tell writes in JSON, or in words.
func (c *configCall) tell(v any, words func(io.Writer)) error {
	if c.asJSON {
		return json.NewEncoder(c.out).Encode(v)
	}
	words(c.out)
	return nil
}
