// Package gossip tells the members of a fleet of each other, and feeds a members.View with what
// comes. Who is asked, suspected and told is github.com/hashicorp/memberlist's; what the words
// mean is the view's.
package gossip

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"jasperpin/internal/membership"
	"jasperpin/internal/nodestate"
)

const (
	// tick is how often a member looks who is there and what it has to say.
	tick = 200 * time.Millisecond
	// silent is how long one counts as heard that the library holds for dead or has never met: it
	// suspects for some seconds before it says so, longer where they are many.
	silent = time.Second
	// sayEach is how often a member says its topics, for each member of the fleet, so that the notes of
	// all come at a steady rate: ten a second take a third of what packets carry at 300.
	sayEach  = 100 * time.Millisecond
	sayLeast = time.Second
	// asides is how many joiners are told at each tick, alone, whom this member counts.
	asides = 16
	// rejoin is how often a member that is known of and not there is called again.
	rejoin     = 2 * time.Second
	streamWait = 2 * time.Second
	// lost bounds the addresses kept of members that are not there.
	maxLost = 256
	// farewells is how many are told of a leave at once: words go on from them.
	farewells = 8
	// maxState bounds what another may tell at a full exchange, in bytes.
	maxState = 4 * membership.MaxMembers * maxRecord
	// repeats is how often a word is passed on, times the logarithm of the members' number: what it
	// does not reach a full exchange brings.
	repeats = 2
)

// ErrListen says that the address for members cannot be listened at.
var ErrListen = errors.New("listening for members")

// Options are what a member needs.
type Options struct {
	Self      membership.Record   // its name, site, weight and life
	Listen    netip.AddrPort      // for packets and streams
	Advertise netip.AddrPort      // where others reach it; the zero value stands for Listen
	Seeds     []string            // addresses of some others, which may be dead or itself
	Keys      [][]byte            // of 16, 24 or 32 bytes; the first encrypts, each decrypts; none for plain words
	Bytes     int                 // a second each way
	Gone      time.Duration       // as members.Options has it
	Alone     bool                // likewise
	Before    func() uint64       // see Lives
	Topics    []Topic             // of what members tell each other beside who they are
	Changed   func(FleetPosition) // is called, one call at a time, when the standing has changed
	Log       *slog.Logger
}

// Topic is a kind of notes, and what there is to say of this member. Say is called now and then, and
// must not call back; nil says nothing.
type Topic struct {
	nodestate.Kind
	Say func() []byte
}

// FleetPosition is this member's place in its fleet.
type FleetPosition struct {
	Index int // its place among all that may be serving, by name
	Count int // how many these are
	Heard int // how many of them are heard
	Part  float64
}

// Gossip is a member that talks to others.
type Gossip struct {
	opts Options
	born time.Time
	net  *transport
	list *memberlist.Memberlist
	out  memberlist.TransmitLimitedQueue

	mu      sync.Mutex
	view    *membership.View
	book    *nodestate.Book
	saidAt  time.Time                // when the topics were said last
	told    membership.Record        // its record as it was told to all last
	here    map[membership.ID]string // the addresses of members that are there,
	lost    map[membership.ID]string // and of those that are not
	rivals  map[membership.ID]bool
	seen    FleetPosition
	leaving bool

	there   atomic.Int64  // how many the library knows, with this one
	strange atomic.Uint64 // words that could not be used
	done    chan struct{}
	ended   sync.WaitGroup
}

// Join begins to listen, and to look for others in the background.
func Join(o Options) (*Gossip, error) {
	if !o.Advertise.IsValid() {
		o.Advertise = o.Listen
	}
	g := &Gossip{opts: o, born: time.Now().Add(-time.Second), here: make(map[membership.ID]string), lost: make(map[membership.ID]string), rivals: make(map[membership.ID]bool), done: make(chan struct{})}
	if o.Before != nil {
		o.Self.Ended = o.Before()
	}
	var err error
	if g.view, err = membership.New(membership.Options{Silent: silent, Gone: o.Gone, Alone: o.Alone}, o.Self, g.now()); err != nil {
		return nil, err
	}
	kinds := make([]nodestate.Kind, len(o.Topics))
	for i, topic := range o.Topics {
		kinds[i] = topic.Kind
	}
	g.book = nodestate.New(o.Self.ID, g.view, kinds...)
	// The library writes much that is for its developers; what members need to know is told here.
	quiet := log.New(io.Discard, "", 0)
	if g.net, err = listen(o.Listen, o.Bytes, quiet); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrListen, err)
	}
	cfg := memberlist.DefaultLANConfig()
	cfg.Name = libraryName(o.Self.ID)
	cfg.Transport, cfg.Logger = g.net, quiet
	cfg.BindAddr, cfg.BindPort = o.Listen.Addr().String(), g.net.GetAutoBindPort()
	cfg.AdvertiseAddr, cfg.AdvertisePort = o.Advertise.Addr().String(), int(o.Advertise.Port())
	if cfg.AdvertisePort == 0 {
		cfg.AdvertisePort = cfg.BindPort
	}
	cfg.TCPTimeout, cfg.PushPullInterval, cfg.GossipInterval = streamWait, 10*time.Second, tick/2
	cfg.Delegate, cfg.Events = (*delegate)(g), (*delegate)(g)
	cfg.EnableCompression = false // words are short, and it is no more work on the way
	if len(o.Keys) > 0 {
		if cfg.Keyring, err = memberlist.NewKeyring(o.Keys, o.Keys[0]); err != nil {
			return nil, errors.Join(fmt.Errorf("the keys of members: %w", err), g.net.Shutdown())
		}
	}
	g.out.RetransmitMult = repeats
	g.out.NumNodes = g.others
	list, err := memberlist.Create(cfg)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("joining the members: %w", err), g.net.Shutdown())
	}
	g.mu.Lock()
	g.list = list // words may have come already
	g.mu.Unlock()
	g.step()
	g.ended.Go(g.run)
	g.ended.Go(g.look)
	return g, nil
}

// Addr is where others reach it.
func (g *Gossip) Addr() string { return g.list.LocalNode().Address() }

func (g *Gossip) now() time.Duration { return time.Since(g.born) }

// others is how many the library knows, with this one. The library's own count would be asked for
// under locks that it holds itself as it calls the delegate.
func (g *Gossip) others() int { return int(g.there.Load()) }

// run lets time pass for the view, and tells what there is to tell.
func (g *Gossip) run() {
	every := time.NewTicker(tick)
	defer every.Stop()
	for {
		select {
		case <-every.C:
			g.step()
		case <-g.done:
			return
		}
	}
}

// step brings the view up to the moment and tells of what has changed.
func (g *Gossip) step() {
	before := uint64(0)
	if g.opts.Before != nil {
		before = g.opts.Before()
	}
	g.mu.Lock()
	now := g.now()
	g.view.Before(before)
	for id := range g.here {
		g.view.Seen(now, id)
	}
	g.view.Tick(now)
	g.book.Tick(now)
	g.say()
	if at := time.Now(); at.Sub(g.saidAt) >= max(sayLeast, time.Duration(g.others())*sayEach) {
		g.saidAt = at
		for _, topic := range g.opts.Topics {
			said := topic.Say()
			if said == nil {
				continue
			}
			if n, err := g.book.Tell(now, topic.Name, said); err == nil {
				g.out.QueueBroadcast(broadcast{n.Of, n.Kind, encodeNote(n)})
			}
		}
	}
	word := encode(g.view.Record(), true)
	joiners := g.joiners()
	g.mu.Unlock()
	for _, at := range joiners {
		_ = g.list.SendToAddress(memberlist.Address{Addr: at}, word) // again at the next tick
	}
}

// joiners are the addresses of some that wait to hear who counts them, and are asked whether they
// still do. All others need not know whom this member counts: told to all, it would be a word of
// each with each change. The lock is held.
func (g *Gossip) joiners() (all []string) {
	for _, m := range g.view.MayServe() {
		if at := g.here[m.ID]; at != "" && m.State == membership.Joining && m.ID != g.opts.Self.ID {
			all = append(all, at)
		}
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), asides)]
}

// say tells of the standing where it has changed, and then passes the own record on where that has:
// others grow by it, and the own part has shrunk before. The lock is held.
func (g *Gossip) say() {
	all, now := g.view.MayServe(), g.now()
	s := FleetPosition{Count: len(all), Part: g.view.Part()}
	for i, m := range all {
		if g.view.Hears(now, m) {
			s.Heard++
		}
		if m.ID == g.opts.Self.ID {
			s.Index = i
		}
	}
	if s != g.seen {
		g.seen = s
		g.opts.Log.Info("members", "may_serve", s.Count, "heard", s.Heard, "number", s.Index, "part", s.Part)
		if g.opts.Changed != nil {
			g.opts.Changed(s)
		}
	}
	r := g.view.Record()
	if is, was := r, g.told; !g.leaving {
		is.Seq, is.Digest, was.Seq, was.Digest = 0, 0, 0, 0
		if is != was {
			g.told = r
			g.pass(r)
		}
	}
}

// hear takes a record, and passes it on where it was news. The lock is held.
func (g *Gossip) hear(r membership.Record) {
	news, err := g.view.Hear(g.now(), r)
	switch {
	case errors.Is(err, membership.ErrName):
		if !g.rivals[r.ID] && len(g.rivals) < maxLost {
			g.rivals[r.ID] = true
			g.opts.Log.Error("a second process goes by a member's name, and is not let in: give it a node.name of its own, or say that the first has ended", "name", r.Name, "site", r.Site, "life", r.Incarnation)
		}
	case err != nil:
		g.strange.Add(1)
	}
	if news {
		g.pass(r)
	}
}

// take takes a word of either kind. The lock is held.
func (g *Gossip) take(w word) {
	if w.Kind == "" {
		g.hear(w.record())
		return
	}
	n := w.note()
	news, err := g.book.Hear(g.now(), n)
	if err != nil {
		g.strange.Add(1)
	}
	if news {
		g.out.QueueBroadcast(broadcast{n.Of, n.Kind, encodeNote(n)})
	}
}

// pass gives a record to the words that go out, in place of an older one of the same life.
func (g *Gossip) pass(r membership.Record) {
	g.out.QueueBroadcast(broadcast{r.ID, "", encode(r, false)})
}

// look calls members that are known of and not there, the seeds and those that were lost, and those
// that are there and have not been heard: a call is a full exchange.
func (g *Gossip) look() {
	wait := time.Duration(0)
	for {
		select {
		case <-time.After(wait):
		case <-g.done:
			return
		}
		g.mu.Lock()
		if g.leaving {
			g.mu.Unlock()
			return
		}
		maps.DeleteFunc(g.lost, func(id membership.ID, _ string) bool { return !g.view.Counts(id) })
		calls := slices.Concat(g.opts.Seeds, slices.Collect(maps.Values(g.lost)))
		there := slices.Collect(maps.Values(g.here))
		calls = slices.DeleteFunc(calls, func(at string) bool { return slices.Contains(there, at) })
		if len(g.lost) > 0 && len(there) > 1 { // others may know what became of them
			calls = append(calls, there[rand.IntN(len(there))])
		}
		untold := 0
		for id, at := range g.here {
			if !g.view.Knows(id) {
				calls = append(calls, at)
				untold++
			}
		}
		g.mu.Unlock()
		wait = rejoin/2 + rand.N(rejoin)
		if untold > 0 || len(there) < 2 {
			wait /= 4
		}
		if len(calls) > 0 {
			// One that does not answer is called again; which ones are, the figures tell.
			_, _ = g.list.Join([]string{calls[rand.IntN(len(calls))]})
		}
	}
}

// Member is one that may be serving, as it is shown.
type Member struct {
	Name  string        `json:"name"`
	Place uint64        `json:"place"`
	Life  uint64        `json:"life"`
	Site  string        `json:"site"`
	State string        `json:"state"`
	Heard bool          `json:"heard"`
	Age   time.Duration `json:"age_ns"` // since it was heard last; -1 for never
	Part  float64       `json:"part"`   // as this member has it
	Self  bool          `json:"self"`
	// Notes are what it told of each topic last.
	Notes   map[string]Told `json:"notes,omitempty"`
	*Counts                 // its own alone
}

var states = map[membership.MemberState]string{0: "untold", membership.Joining: "joining", membership.Serving: "serving", membership.Leaving: "leaving"}

// Told is a note as it is shown.
type Told struct {
	Text string        `json:"text"`
	Age  time.Duration `json:"age_ns"`
}

// ReadMembers reads members as they were told, each a line of JSON.
func ReadMembers(lines []string) ([]Member, error) {
	all := make([]Member, len(lines))
	for i, line := range lines {
		if err := json.Unmarshal([]byte(line), &all[i]); err != nil {
			return nil, fmt.Errorf("reading of a member: %w", err)
		}
	}
	return all, nil
}

// Members are all that may be serving, by name.
func (g *Gossip) Members() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	told := make(map[string]nodestate.Reading)
	for _, topic := range g.opts.Topics {
		told[topic.Name] = g.book.Read(now, topic.Name)
	}
	var all []Member
	for _, m := range g.view.MayServe() {
		shown := Member{
			Name: m.Name, Place: m.Place, Life: m.Incarnation, Site: m.Site, State: states[m.State], Age: now - m.Heard, Part: m.Part, Self: m.ID == g.opts.Self.ID,
			Heard: g.view.Hears(now, m),
		}
		switch {
		case shown.Self:
			counts := g.Counts()
			shown.Age, shown.Part, shown.Counts = 0, g.view.Part(), &counts
		case m.Heard == 0:
			shown.Age = -1
		}
		if !shown.Heard {
			shown.State = "unheard"
		}
		shown.Notes = make(map[string]Told)
		for name, r := range told {
			if v, known := r.Values[m.ID]; known {
				shown.Notes[name] = Told{string(v.Body), v.Age}
			}
		}
		all = append(all, shown)
	}
	return all
}

// Ended takes an operator's word that a life has ended, and has all members know.
func (g *Gossip) Ended(name string, life uint64) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := g.view.MayServe()
	i := slices.IndexFunc(all, func(m membership.Member) bool { return m.Name == name && m.Incarnation == life })
	if i < 0 {
		return fmt.Errorf("nobody of the name %.40q and life %d is counted", name, life)
	}
	r, err := g.view.Given(all[i].ID)
	if err != nil {
		return err
	}
	g.hear(r)
	g.say()
	return nil
}

// Prove takes the word of others, such as the group's, of which lives are there by what they said of a
// topic: who is counted, has said something and is not there has ended; where all who are there are
// counted, nobody who serves is missing.
func (g *Gossip) Prove(topic string, there map[string]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	counted := 0
	for id, v := range g.book.Read(g.now(), topic).Values {
		switch {
		case there[string(v.Body)]:
			counted++
		case id != g.opts.Self.ID:
			g.opts.Log.Info("a member has ended, by the group's word", "name", id.Name, "life", id.Incarnation)
			g.view.Ended(id)
		}
	}
	if counted == len(there) && counted > 0 {
		g.view.Whole()
	}
	g.say()
}

// Begin takes an operator's word that no member serves.
func (g *Gossip) Begin() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	err := g.view.Begin()
	g.say()
	return err
}

// Counts are what has gone over the network.
type Counts struct {
	Sent    uint64 `json:"sent"`    // bytes
	Got     uint64 `json:"got"`     // bytes
	Dropped uint64 `json:"dropped"` // packets, by the cap on bytes
	Strange uint64 `json:"strange"` // words that could not be used
}

// Counts tells what has gone over the network so far.
func (g *Gossip) Counts() Counts {
	return Counts{g.net.sent.Load(), g.net.got.Load(), g.net.dropped.Load(), g.strange.Load()}
}

// Leave gives the part up and tells others, within about the time. Close is still to come.
func (g *Gossip) Leave(within time.Duration) {
	g.mu.Lock()
	g.view.Leave()
	g.say()
	g.leaving = true
	word := encode(g.view.Record(), false)
	delete(g.here, g.opts.Self.ID)
	all := slices.Collect(maps.Values(g.here))
	g.mu.Unlock()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, at := range all[:min(len(all), farewells)] {
		_ = g.list.SendToAddress(memberlist.Address{Addr: at}, word) // one that is not reached hears of it from another
	}
	if len(all) > 0 {
		_ = g.list.Leave(within)
	}
}

// Close ends it without a word, as a crash would.
func (g *Gossip) Close() {
	close(g.done)
	_ = g.list.Shutdown()
	g.ended.Wait()
}

// broadcast is a word on its way out.
type broadcast struct {
	id   membership.ID
	kind string // of a note
	word []byte
}

func (b broadcast) Invalidates(o memberlist.Broadcast) bool {
	old, ok := o.(broadcast)
	return ok && old.id == b.id && old.kind == b.kind
}

func (b broadcast) Message() []byte { return b.word }
func (broadcast) Finished()         {}

// delegate is what the library calls.
type delegate Gossip

func (d *delegate) NodeMeta(int) []byte { return nil }

func (d *delegate) NotifyMsg(b []byte) {
	w, err := decode(b)
	if err != nil {
		d.strange.Add(1)
		return
	}
	g := (*Gossip)(d)
	g.mu.Lock()
	if g.take(w); w.Kind == "" { // a note changes nothing of who is there
		g.say()
	}
	at, own, list := g.here[w.id()], g.view.Record(), g.list
	g.mu.Unlock()
	if w.Ask && at != "" && own.State != membership.Joining && list != nil {
		_ = list.SendToAddress(memberlist.Address{Addr: at}, encode(own, false))
	}
}

func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.out.GetBroadcasts(overhead, limit)
}

func (d *delegate) LocalState(bool) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := d.view.All()
	words := make([]json.RawMessage, 0, len(all))
	for _, r := range all {
		words = append(words, encode(r, false))
	}
	for _, n := range d.book.All((*Gossip)(d).now()) {
		words = append(words, encodeNote(n))
	}
	b, err := json.Marshal(words)
	if err != nil {
		panic(err) // each is a word of its own making
	}
	return b
}

func (d *delegate) MergeRemoteState(b []byte, _ bool) {
	var words []json.RawMessage
	if len(b) > maxState || json.Unmarshal(b, &words) != nil {
		d.strange.Add(1)
		return
	}
	g := (*Gossip)(d)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, w := range words {
		if w, err := decode(w); err != nil {
			g.strange.Add(1)
		} else {
			g.take(w)
		}
	}
	g.say()
}

func (d *delegate) NotifyJoin(n *memberlist.Node) {
	id, ok := parseName(n.Name)
	if !ok {
		d.strange.Add(1)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.lost, id)
	d.here[id] = n.Address()
	d.there.Store(int64(len(d.here)))
}

// NotifyLeave keeps the address of one that is not there and may be serving.
func (d *delegate) NotifyLeave(n *memberlist.Node) {
	d.mu.Lock()
	defer d.mu.Unlock()
	id, _ := parseName(n.Name)
	delete(d.here, id)
	d.there.Store(int64(len(d.here)))
	if len(d.lost) < maxLost && d.view.Counts(id) {
		d.lost[id] = n.Address()
	}
}

// NotifyUpdate takes a new address.
func (d *delegate) NotifyUpdate(n *memberlist.Node) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if id, ok := parseName(n.Name); ok {
		d.here[id] = n.Address()
	}
}

// libraryName is a life's among the library's nodes.
func libraryName(id membership.ID) string {
	return fmt.Sprintf("%s/%x/%x", id.Name, id.Place, id.Incarnation)
}

func parseName(text string) (id membership.ID, ok bool) {
	words := strings.Split(text, "/")
	if len(words) < 3 {
		return id, false
	}
	n := len(words)
	place, err1 := strconv.ParseUint(words[n-2], 16, 64)
	life, err2 := strconv.ParseUint(words[n-1], 16, 64)
	id = membership.ID{Identity: membership.Identity{Name: strings.Join(words[:n-2], "/"), Place: place}, Incarnation: life}
	return id, err1 == nil && err2 == nil
}
