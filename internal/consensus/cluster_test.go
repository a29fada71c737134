package consensus

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/hashicorp/raft"

	"jasperpin/internal/consensus/fsm"
	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/check"
	"jasperpin/internal/mtls"
)

// testCluster is a cluster of voters on loopback addresses. Each voter can be stopped and started again.
type testCluster struct {
	t     *testing.T
	auth  *emulator.Authority
	dir   string
	addrs map[string]string // the voters' addresses, by name

	mu         sync.Mutex
	voters     map[string]*Voter                       // the running voters, by name
	wrapStable func(raft.StableStore) raft.StableStore // Options.wrapStable of the voters that start from now on
	partition  map[string]int                          // the partition of each address: voters of different partitions cannot connect
	conns      map[net.Conn][2]string                  // the addresses of both ends of a connection
}

// split divides the voters into network partitions, given by name. The others are in partition 0.
func (cluster *testCluster) split(partitions map[string]int) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.partition = make(map[string]int)
	for name, partition := range partitions {
		cluster.partition[cluster.addrs[name]] = partition
	}
	for conn, ends := range cluster.conns {
		if cluster.partition[ends[0]] != cluster.partition[ends[1]] {
			conn.Close()
			delete(cluster.conns, conn)
		}
	}
}

// dialFrom returns the dialFunc of the voter at an address.
func (cluster *testCluster) dialFrom(from string) dialFunc {
	return func(ctx context.Context, credentials *tls.Config, to, protocol string) (net.Conn, error) {
		separatedLocked := func() bool { return cluster.partition[from] != cluster.partition[to] }
		cluster.mu.Lock()
		separated := separatedLocked()
		cluster.mu.Unlock()
		if separated {
			return nil, errors.New("partitioned")
		}
		conn, err := dial(ctx, credentials, to, protocol)
		if err != nil {
			return nil, err
		}
		cluster.mu.Lock()
		defer cluster.mu.Unlock()
		if separatedLocked() {
			conn.Close()
			return nil, errors.New("partitioned")
		}
		cluster.conns[conn] = [2]string{from, to}
		return conn, nil
	}
}

func newCluster(t *testing.T, names ...string) *testCluster {
	t.Helper()
	cluster := &testCluster{
		t:      t,
		dir:    t.TempDir(),
		addrs:  make(map[string]string),
		voters: make(map[string]*Voter),
		conns:  make(map[net.Conn][2]string),
	}
	cluster.auth = check.Must[*emulator.Authority](t)(emulator.NewAuthority(cluster.dir))
	for _, n := range names {
		cluster.addrs[n] = check.UnusedAddr(t)
	}
	for _, n := range names {
		if err := Bootstrap(cluster.voterDir(n), n, cluster.addrs); err != nil {
			t.Fatal(err)
		}
		cluster.start(n)
	}
	t.Cleanup(func() {
		for n := range cluster.voters {
			cluster.end(n)
		}
	})
	return cluster
}

func (cluster *testCluster) voterDir(name string) string {
	return filepath.Join(cluster.dir, "voter-"+name)
}

func (cluster *testCluster) files(name string) mtls.Files {
	cluster.t.Helper()
	cert, key, err := cluster.auth.Issue(name)
	if err != nil {
		cluster.t.Fatal(err)
	}
	return mtls.Files{Certificate: cert, Key: key, Authorities: cluster.auth.File}
}

func (cluster *testCluster) options(name string) Options {
	cluster.t.Helper()
	return Options{
		Listen:     cluster.addrs[name],
		Dir:        cluster.voterDir(name),
		Files:      cluster.files(VoterName),
		Log:        slog.New(slog.NewTextHandler(io.Discard, nil)),
		dial:       cluster.dialFrom(cluster.addrs[name]),
		wrapStable: cluster.wrapStable,
	}
}

func (cluster *testCluster) start(name string) *Voter {
	cluster.t.Helper()
	v, err := Start(cluster.options(name))
	if err != nil {
		cluster.t.Fatal(err)
	}
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.voters[name] = v
	return v
}

func (cluster *testCluster) end(name string) {
	cluster.mu.Lock()
	v := cluster.voters[name]
	delete(cluster.voters, name)
	cluster.mu.Unlock()
	if v != nil {
		v.Close()
	}
}

// leader waits for an election and returns the leader's name.
func (cluster *testCluster) leader() (name string) {
	cluster.t.Helper()
	check.Eventually(cluster.t, "a voter is the leader", func() bool {
		cluster.mu.Lock()
		defer cluster.mu.Unlock()
		for n, v := range cluster.voters {
			if v.Leader() == cluster.addrs[n] {
				name = n
				return true
			}
		}
		return false
	})
	return name
}

func (cluster *testCluster) client() *Client {
	cluster.t.Helper()
	var addrs []string
	for _, a := range cluster.addrs {
		addrs = append(addrs, a)
	}
	slices.Sort(addrs)
	c := check.Must[*Client](cluster.t)(NewClient(addrs, cluster.files("client")))
	cluster.t.Cleanup(c.Close)
	return c
}

func within(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

// registerOp is one read or write of an entry with its outcome.
type registerOp struct {
	write    bool
	mismatch bool   // the write failed with ErrRevisionMismatch
	expected uint64 // the revision at which the write expected the entry
	revision uint64 // the revision that the read or the write returned
}

// register is the sequential specification of one entry, whose state is its revision.
var register = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, in, _ any) (bool, any) {
		revision, op := state.(uint64), in.(registerOp)
		switch {
		case !op.write:
			return revision == op.revision, revision
		case op.mismatch:
			return revision != op.expected, revision
		default:
			return revision == op.expected, op.revision
		}
	},
}

// history records the calls of concurrent clients on one entry.
type history struct {
	start time.Time

	mu    sync.Mutex
	calls []porcupine.Operation
}

func (h *history) add(client int, op registerOp, called time.Duration) {
	returned := time.Since(h.start)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, porcupine.Operation{ClientId: client, Input: op, Call: called.Nanoseconds(), Return: returned.Nanoseconds()})
}

func (h *history) len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.calls)
}

// callRegister writes or reads the entry "k" once.
func callRegister(ctx context.Context, c *Client, write bool, expected uint64) (op registerOp, err error) {
	op = registerOp{write: write, expected: expected}
	if write {
		r, err := c.Do(ctx, fsm.Command{Op: fsm.Put, Name: "k", IfRevision: expected, Value: []byte("v")})
		op.revision = r.Revision
		if op.mismatch = errors.Is(err, fsm.ErrRevisionMismatch); op.mismatch {
			err = nil
		}
		return op, err
	}
	everyName := ""
	resp, err := c.Read(ctx, ReadRequest{Entries: &everyName})
	if err == nil && len(resp.Entries) == 1 {
		op.revision = resp.Entries[0].Revision
	}
	return op, err
}

// TestHistoryIsLinearizable runs five clients that write and read one entry while voters are stopped and started
// again, first the leader. Porcupine checks that the history of calls is linearizable. A client retries a write whose
// response was lost in the same session, so that the outcome is known.
func TestHistoryIsLinearizable(t *testing.T) {
	cluster := newCluster(t, "a", "b", "c")
	cluster.leader()
	rng := rand.New(rand.NewPCG(16, 1))
	recorded := &history{start: time.Now()}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 5 {
		c, seed := cluster.client(), rng.Uint64()
		clients.Go(func() {
			rng := rand.New(rand.NewPCG(seed, 2))
			last := uint64(0)
			for {
				select {
				case <-stop:
					return
				default:
				}
				write, called := rng.IntN(2) == 0, time.Since(recorded.start)
				op, err := callRegister(t.Context(), c, write, last)
				if err != nil {
					t.Errorf("call of client %d failed: %v", i, err)
					return
				}
				if !op.mismatch {
					last = op.revision
				}
				recorded.add(i, op, called)
			}
		})
	}
	for i := range 3 {
		victim := cluster.leader()
		if i == 2 {
			victim = []string{"a", "b", "c"}[rng.IntN(3)]
		}
		before := recorded.len()
		cluster.end(victim)
		check.Eventually(t, "the other voters serve calls", func() bool { return recorded.len() > before+100 })
		cluster.start(victim)
	}
	close(stop)
	clients.Wait()
	if !porcupine.CheckOperations(register, recorded.calls) {
		t.Errorf("the history of %d calls is not linearizable", len(recorded.calls))
	}
}

// TestLeaseHasOneHolderThroughFailover lets two clients acquire one lease. After the leader fails, the first client
// must renew the lease with the next leader. After the first client stops renewing, the second must acquire the lease
// under a greater token. At no time may both hold it.
func TestLeaseHasOneHolderThroughFailover(t *testing.T) {
	cluster := newCluster(t, "a", "b", "c")
	one := cluster.client().HoldLease("role", "one", 2*time.Second)
	var firstToken uint64
	check.Eventually(t, "the first client holds the lease", func() bool {
		token, held := one.FencingToken()
		firstToken = token
		return held
	})
	two := cluster.client().HoldLease("role", "two", 2*time.Second)
	defer two.Release(within(t, time.Second))
	cluster.end(cluster.leader())
	cluster.leader()
	check.Eventually(t, "the first client renews the lease with the next leader", func() bool {
		one.mu.Lock()
		defer one.mu.Unlock()
		return one.state.Deadline()-one.now() > 1500*time.Millisecond
	})
	if token, held := two.FencingToken(); held {
		t.Fatalf("both clients hold the lease, with tokens %d and %d", firstToken, token)
	}
	one.stop() // without Release, like a process that was killed
	check.Eventually(t, "the second client holds the lease", func() bool {
		token, held := two.FencingToken()
		if _, still := one.FencingToken(); held && still {
			t.Error("both clients hold the lease, want at most one holder")
		}
		return held && token > firstToken
	})
}

// TestDamagedVoterIsReplaced starts voters whose log is truncated, overwritten or missing, and one without a
// directory. Each must fail with the error for the cause. A new voter then joins in place of the damaged one,
// receives the state and records that it has started.
func TestDamagedVoterIsReplaced(t *testing.T) {
	cluster := newCluster(t, "a", "b", "c")
	client := cluster.client()
	if _, err := client.Do(within(t, check.Timeout), fsm.Command{Op: fsm.Put, Name: "k", Value: []byte("v")}); err != nil {
		t.Fatal(err)
	}
	leader := cluster.leader()
	var damaged string
	for n := range cluster.addrs {
		if n != leader {
			damaged = n
		}
	}
	cluster.end(damaged)
	checkDamagedLogs(t, cluster, damaged)
	if err := os.RemoveAll(cluster.voterDir(damaged)); err != nil {
		t.Fatal(err)
	}
	if _, err := Start(cluster.options(damaged)); !errors.Is(err, ErrNotInitialized) {
		t.Errorf("starting a voter without a directory: got error %v, want ErrNotInitialized", err)
	}

	if err := Join(cluster.voterDir(damaged), damaged); err != nil {
		t.Fatal(err)
	}
	joined := cluster.start(damaged)
	for _, change := range []VoterChange{{Remove: damaged}, {Add: joined.ID(), Addr: joined.Addr()}} {
		if err := client.ChangeVoters(within(t, check.Timeout), change); err != nil {
			t.Fatal(err)
		}
	}
	if err := client.ChangeVoters(within(t, check.Timeout), VoterChange{Remove: damaged + "?"}); !errors.Is(err, ErrVoterChange) {
		t.Errorf("removing an unknown voter: got error %v, want ErrVoterChange", err)
	}
	check.Eventually(t, "the new voter has the entry", func() bool {
		_, found := entryOf(joined, "k")
		return found
	})
	status, err := client.Status(within(t, check.Timeout), cluster.addrs[leader])
	if err != nil || len(status.Voters) != 3 || !status.IsLeader || slices.ContainsFunc(status.Voters, func(m Member) bool { return m.ID == damaged }) {
		t.Errorf("got status %+v, error %v; want a leader and 3 voters, without the damaged one", status, err)
	}
	check.Eventually(t, "the new voter has recorded that it started", func() bool {
		id, err := readIdentity(cluster.voterDir(damaged))
		return err == nil && id.Started
	})
}

// checkDamagedLogs starts a voter with a truncated, an overwritten and a missing log. Each start must fail.
func checkDamagedLogs(t *testing.T, cluster *testCluster, name string) {
	t.Helper()
	log := filepath.Join(cluster.voterDir(name), "log.db")
	text := check.Must[[]byte](t)(os.ReadFile(log))
	overwritten := slices.Clone(text)
	for i := range min(len(overwritten), 32<<10) {
		overwritten[i] ^= 0x5a
	}
	for damage, content := range map[string][]byte{"truncated": text[:len(text)/2], "overwritten": overwritten, "missing": nil} {
		opt := cluster.options(name)
		opt.Dir = t.TempDir() // one directory per case, since a file that fails to open stays locked in this process
		if err := (identity{ID: name, Started: true}).write(opt.Dir); err != nil {
			t.Fatal(err)
		}
		if content != nil {
			if err := os.WriteFile(filepath.Join(opt.Dir, "log.db"), content, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		v, err := Start(opt)
		if err == nil {
			v.Close()
		}
		if !errors.Is(err, ErrLogDamaged) && !errors.Is(err, ErrLogMissing) {
			t.Errorf("starting a voter with its log %s: got error %v, want ErrLogDamaged or ErrLogMissing", damage, err)
		}
	}
}

// TestStateSurvivesRestartOfAllVoters stops all voters of a cluster and starts them again, with one voter and with
// three. The lease granted before must still be held.
func TestStateSurvivesRestartOfAllVoters(t *testing.T) {
	for _, names := range [][]string{{"a"}, {"a", "b", "c"}} {
		t.Run(fmt.Sprint(len(names)), func(t *testing.T) {
			t.Parallel()
			cluster := newCluster(t, names...)
			client := cluster.client()
			r, err := client.Do(within(t, check.Timeout), fsm.Command{Op: fsm.Acquire, Name: "l", Holder: "h", TTL: time.Hour})
			if err != nil {
				t.Fatal(err)
			}
			for _, n := range names {
				cluster.end(n)
			}
			for _, n := range names {
				cluster.start(n)
			}
			everyName := ""
			v, err := client.Read(within(t, check.Timeout), ReadRequest{Leases: &everyName})
			if err != nil || len(v.Leases) != 1 || v.Leases[0].FencingToken != r.FencingToken {
				t.Errorf("after the restart the state is %+v, error %v; want the lease granted by %+v", v, err, r)
			}
		})
	}
}

// TestRestoredBackupKeepsTokensGrowing restores a backup in the cluster from which it was taken, which has made
// changes since, and in a new cluster. The entries must be those of the backup, all leases must be free, and new
// fencing tokens must be greater than all tokens granted before. A backup with a changed byte must be rejected.
func TestRestoredBackupKeepsTokensGrowing(t *testing.T) {
	cluster := newCluster(t, "a", "b", "c")
	client := cluster.client()
	execute := func(c *Client, cmd fsm.Command) fsm.Result {
		t.Helper()
		r, err := c.Do(within(t, check.Timeout), cmd)
		if err != nil {
			t.Fatalf("command %+v failed: %v", cmd, err)
		}
		return r
	}
	written := execute(client, fsm.Command{Op: fsm.Put, Name: "k", Value: []byte("then")})
	execute(client, fsm.Command{Op: fsm.Acquire, Name: "l", Holder: "one", TTL: time.Hour})
	b, err := client.Backup(within(t, check.Timeout))
	if err != nil {
		t.Fatal(err)
	}
	encoded := b.Encode()
	execute(client, fsm.Command{Op: fsm.Put, Name: "k", IfRevision: written.Revision, Value: []byte("later")})
	last := execute(client, fsm.Command{Op: fsm.Acquire, Name: "m", Holder: "one", TTL: time.Hour})

	for i := range encoded { // every byte of the header, and some of the state
		if i > 200 && i%97 > 0 {
			continue
		}
		bad := slices.Clone(encoded)
		bad[i] ^= 1
		if _, err := DecodeBackup(bad); !errors.Is(err, ErrBackup) {
			t.Fatalf("decoding a backup with byte %d of %d changed: got error %v, want ErrBackup", i, len(encoded), err)
		}
	}
	if b, err = DecodeBackup(encoded); err != nil {
		t.Fatal(err)
	}
	for _, c := range []*Client{client, newCluster(t, "d").client()} {
		if err := c.RestoreBackup(within(t, check.Timeout), b); err != nil {
			t.Fatal(err)
		}
		everyName := ""
		v, err := c.Read(within(t, check.Timeout), ReadRequest{Leases: &everyName, Entries: &everyName})
		if err != nil || len(v.Leases) != 0 || len(v.Entries) != 1 || string(v.Entries[0].Value) != "then" {
			t.Fatalf("the restored state is %+v, error %v; want no lease and the entry of the backup", v, err)
		}
		if r := execute(c, fsm.Command{Op: fsm.Acquire, Name: "l", Holder: "two", TTL: time.Hour}); r.FencingToken <= last.FencingToken {
			t.Errorf("granted fencing token %d after token %d, want a greater one", r.FencingToken, last.FencingToken)
		}
	}
	check.Eventually(t, "all voters have the lease", func() bool {
		cluster.mu.Lock()
		defer cluster.mu.Unlock()
		for _, v := range cluster.voters {
			var l fsm.Lease
			v.replica.read(func(s *fsm.State) { l, _ = s.Lease("l") })
			if l.Holder != "two" {
				return false
			}
		}
		return true
	})
}

// entryOf returns an entry as one voter has applied it.
func entryOf(v *Voter, key string) (e fsm.Entry, found bool) {
	v.replica.read(func(s *fsm.State) { e, found = s.Entry(key) })
	return e, found
}

// partitionsOf returns the partitions for split, with all minority voters in one partition or, if apart is set, each
// in its own. In minority, "leader" stands for the current leader, any other name for some other voter.
func (cluster *testCluster) partitionsOf(minority []string, apart bool) map[string]int {
	cluster.t.Helper()
	leader := cluster.leader()
	partitions := make(map[string]int)
	for n, role := range minority {
		name := leader
		if role != "leader" {
			for name = range cluster.addrs {
				if name != leader && partitions[name] == 0 {
					break
				}
			}
		}
		partitions[name] = 1
		if apart {
			partitions[name] = 1 + n
		}
	}
	return partitions
}

// TestMinorityPartitionCommitsNothing partitions five voters into 2 with the leader and 3, 1 with the leader and 4,
// and 1, 1 and 3. Each time the majority must commit a write. No voter of a minority may commit a command or return
// stale data, and after the partition heals all voters must have the write.
func TestMinorityPartitionCommitsNothing(t *testing.T) {
	cluster := newCluster(t, "a", "b", "c", "d", "e")
	revision := uint64(0)
	for _, tc := range []struct {
		minority []string
		apart    bool
	}{
		{minority: []string{"leader", "other"}},
		{minority: []string{"leader"}},
		{minority: []string{"one", "other"}, apart: true},
	} {
		partitions := cluster.partitionsOf(tc.minority, tc.apart)
		cluster.split(partitions)
		var majority, minority []string
		for name, addr := range cluster.addrs {
			if partitions[name] == 0 {
				majority = append(majority, addr)
			} else {
				minority = append(minority, addr)
			}
		}
		majorityClient := check.Must[*Client](t)(NewClient(majority, cluster.files("client")))
		r, err := majorityClient.Do(within(t, check.Timeout), fsm.Command{Op: fsm.Put, Name: "k", IfRevision: revision, Value: []byte("v")})
		if err != nil {
			t.Fatalf("write in the majority failed with %v in the minority: %v", tc.minority, err)
		}
		revision = r.Revision
		cluster.checkMinority(minority, revision)
		cluster.split(nil)
		check.Eventually(t, "all voters have the write", func() bool {
			cluster.mu.Lock()
			defer cluster.mu.Unlock()
			for _, v := range cluster.voters {
				if e, found := entryOf(v, "k"); !found || e.Revision != revision {
					return false
				}
			}
			return true
		})
		majorityClient.Close()
	}
}

// checkMinority calls each voter of a minority directly and does not follow its redirect, since the leader may be in
// the majority. The voter must not commit a command, and must not return the entry at another revision.
func (cluster *testCluster) checkMinority(minority []string, revision uint64) {
	t := cluster.t
	t.Helper()
	client := check.Must[*Client](t)(NewClient(minority, cluster.files("client")))
	defer client.Close()
	for _, addr := range minority {
		var resp ReadResponse
		ctx := within(t, 2*time.Second)
		if _, err := client.callVoter(ctx, addr, pathRead, []byte(`{"Entries":""}`), &resp, callTimeout); err == nil && (len(resp.Entries) != 1 || resp.Entries[0].Revision != revision) {
			t.Errorf("voter %s of the minority returned %+v, want an error or revision %d", addr, resp, revision)
		}
		var r fsm.Result
		if _, err := client.callVoter(ctx, addr, pathCommand, []byte(`{"Op":"put","Name":"lost"}`), &r, callTimeout); err == nil {
			t.Errorf("voter %s of the minority committed a command: %+v", addr, r)
		}
	}
}

// TestUnauthorizedCallersAreRejected connects to a voter by raft's protocol with a client's certificate, and
// calls it with a certificate of another authority. Both must be rejected. While the majority is stopped, a command
// of a valid client must fail with ErrUnknown.
func TestUnauthorizedCallersAreRejected(t *testing.T) {
	cluster := newCluster(t, "a", "b", "c")
	leader := cluster.leader()
	credentials, err := cluster.files("client").Load(VoterName)
	if err != nil {
		t.Fatal(err)
	}
	conn, err := dial(t.Context(), credentials, cluster.addrs[leader], protocolRaft)
	if err == nil { // the client's handshake ends before the server has verified the certificate
		_ = conn.SetReadDeadline(time.Now().Add(check.Timeout))
		if n, err := conn.Read(make([]byte, 1)); err == nil {
			t.Errorf("raft accepted a client's certificate: read %d bytes", n)
		}
		conn.Close()
	}
	other := check.Must[*emulator.Authority](t)(emulator.NewAuthority(t.TempDir()))
	cert, key, err := other.Issue(VoterName)
	if err != nil {
		t.Fatal(err)
	}
	untrusted := check.Must[*Client](t)(NewClient([]string{cluster.addrs[leader]}, mtls.Files{Certificate: cert, Key: key, Authorities: cluster.auth.File}))
	if _, err := untrusted.Do(within(t, 500*time.Millisecond), fsm.Command{Op: fsm.Put, Name: "k"}); !errors.Is(err, ErrUnknown) {
		t.Errorf("call with the certificate of another authority: got error %v, want ErrUnknown", err)
	}
	for n := range cluster.addrs {
		if n != leader {
			cluster.end(n)
		}
	}
	if r, err := cluster.client().Do(within(t, 2*time.Second), fsm.Command{Op: fsm.Put, Name: "k"}); !errors.Is(err, ErrUnknown) {
		t.Errorf("command without a majority: got result %+v, error %v; want ErrUnknown", r, err)
	}
}
