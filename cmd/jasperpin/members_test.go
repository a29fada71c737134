package main

import (
	"bytes"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"jasperpin/internal/consensus"
	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/check"
	"jasperpin/internal/emulator/testbed"
	"jasperpin/internal/gossip"
)

// startFleet starts a fleet of many nodes, of which the quotas are added up at the end, by their
// own logs.
func startFleet(t *testing.T, o testbed.FleetOptions) *testbed.Fleet {
	t.Helper()
	o.Dir, o.Seed = t.TempDir(), 11
	o.StartNode = startServing
	f := check.Must[*testbed.Fleet](t)(testbed.NewFleet(o))
	t.Cleanup(func() {
		f.Close()
		most, at, err := f.MaxQuotaSum()
		if err != nil || most > 1+1e-9 || most == 0 {
			t.Errorf("seed %d: parts add up to %v at %v: %v", o.Seed, most, at, err)
		}
		if t.Failed() {
			t.Log(f.Logged())
		}
	})
	return f
}

func numbers(from, to int) (all []int) {
	for i := from; i < to; i++ {
		all = append(all, i)
	}
	return all
}

func awaitAgreement(t *testing.T, f *testbed.Fleet, what string, members ...int) {
	t.Helper()
	var err error
	defer func() {
		if t.Failed() {
			t.Log(what, err)
		}
	}()
	check.Eventually(t, what, func() bool {
		err = f.CheckAgreement(members...)
		return err == nil
	})
}

func startMembers(t *testing.T, f *testbed.Fleet, members ...int) {
	t.Helper()
	if err := f.Start(members...); err != nil {
		t.Fatal(err)
	}
}

// memberState returns the state and quota that one member has of another.
func memberState(f *testbed.Fleet, of, by int) (string, float64) {
	all, _ := f.Members(by)
	for _, m := range all {
		if m.Name == f.Name(of) {
			return m.State, m.Quota
		}
	}
	return "none", 0
}

// TestFleetThroughFaults has a dozen processes meet at once and go through faults that separate
// them. Each that is not proven gone is counted all the while, no member has a quota before all
// count it, and the quotas never add up to more than one.
func TestFleetThroughFaults(t *testing.T) {
	t.Parallel()
	f := startFleet(t, testbed.FleetOptions{Members: 12, ExtraSeeds: []string{check.UnusedAddr(t), check.UnusedAddr(t)}})
	startMembers(t, f, numbers(0, 10)...)
	awaitAgreement(t, f, "ten processes, started at once, of which some seeds are dead", numbers(0, 10)...)

	// A half hears nothing of the other. One that begins there has no part until they heal.
	f.Partition(func(i int) bool { return i < 5 || i == 10 }, true)
	startMembers(t, f, 10)
	check.Eventually(t, "the other half is not heard", func() bool {
		s, _ := memberState(f, 7, 0)
		return s == "unheard"
	})
	if _, part := memberState(f, 0, 0); part != 1.0/11 {
		t.Errorf("beside ten others, half of them unheard, a part of %v", part)
	}
	if s, part := memberState(f, 10, 10); s != "joining" || part != 0 {
		t.Errorf("one that half of the fleet has not heard of is %s with a part of %v", s, part)
	}
	f.Partition(func(i int) bool { return i < 5 || i == 10 }, false)
	awaitAgreement(t, f, "both halves and the newcomer after the heal", numbers(0, 11)...)

	// One that was killed is counted until it is back, and proves its own end.
	f.Kill(3)
	check.Eventually(t, "the killed one is not heard", func() bool {
		s, _ := memberState(f, 3, 6)
		return s == "unheard"
	})
	if _, part := memberState(f, 6, 6); part != 1.0/11 {
		t.Errorf("a part of %v after another was killed", part)
	}
	startMembers(t, f, 3)
	awaitAgreement(t, f, "the killed one is back", numbers(0, 11)...)

	// Paused ones are counted; A hears B and B does not hear A; packets are lost.
	if err := f.Pause(true, 4, 5); err != nil {
		t.Fatal(err)
	}
	f.SetLink(1, 2, testbed.Link{Cut: true})
	check.Eventually(t, "the paused ones are not heard", func() bool {
		a, _ := memberState(f, 4, 1)
		b, _ := memberState(f, 5, 2)
		return a == "unheard" && b == "unheard"
	})
	if err := f.Pause(false, 4, 5); err != nil {
		t.Fatal(err)
	}
	awaitAgreement(t, f, "the paused ones go on, over a way that is cut one way", numbers(0, 11)...)
	f.SetAllLinks(testbed.Link{Loss: 0.3, Duplicate: 0.1, Jitter: 20e6})
	if err := f.Terminate(8, 9, 10); err != nil {
		t.Error("members told to end:", err)
	}
	awaitAgreement(t, f, "three have left, with a third of all packets lost", numbers(0, 8)...)
}

// TestFleetGrowsAndShrinks doubles a fleet at once and halves it, restarts all members one after
// another, by signal and by kill, and stops all for a while. A new process beside the running one
// is a new incarnation.
func TestFleetGrowsAndShrinks(t *testing.T) {
	t.Parallel()
	f := startFleet(t, testbed.FleetOptions{Members: 8})
	startMembers(t, f, numbers(0, 4)...)
	awaitAgreement(t, f, "four members", numbers(0, 4)...)
	startMembers(t, f, numbers(4, 8)...)
	awaitAgreement(t, f, "twice as many", numbers(0, 8)...)
	if err := f.Terminate(numbers(4, 8)...); err != nil {
		t.Error(err)
	}
	awaitAgreement(t, f, "half of them", numbers(0, 4)...)
	for i := range 4 {
		if i%2 == 0 {
			f.Kill(i)
		} else if err := f.Terminate(i); err != nil {
			t.Error(err)
		}
		startMembers(t, f, i)
	}
	awaitAgreement(t, f, "all have begun anew", numbers(0, 4)...)
	if err := f.Pause(true, numbers(0, 4)...); err != nil {
		t.Fatal(err)
	}
	if err := f.Pause(false, numbers(0, 4)...); err != nil {
		t.Fatal(err)
	}
	was := check.Must[[]gossip.Member](t)(f.Members(0))
	next := check.Must[*testbed.Process](t)(testbed.Program{Path: os.Args[0], Env: []string{"JASPERPIN_TEST_MAIN=1"}}.Start(
		t.TempDir(), "next", "serve", "-c", f.File(2), "--control", "unix:"+filepath.Join(t.TempDir(), "next.door")))
	defer next.Kill()
	check.Eventually(t, "a new version waits for the one that runs", func() bool {
		return strings.Contains(next.Logged(), "fleet: waiting for the previous process to end")
	})
	if err := f.Terminate(2); err != nil {
		t.Error(err)
	}
	check.Eventually(t, "it is the member then, in a new life", func() bool {
		all, err := f.Members(0)
		return err == nil && len(all) == 4 && all[2].Incarnation > was[2].Incarnation && !slices.ContainsFunc(all, func(m gossip.Member) bool {
			return m.State != "serving" || m.Quota != 0.25
		})
	})
}

// TestGroupProvesEnds has three voters and another node be members that depend on their consensus
// group. One that is killed for good, and one that is stopped for longer than its lease, count no
// more; the latter comes back as a new incarnation. With the majority lost nobody is proven gone.
func TestGroupProvesEnds(t *testing.T) {
	t.Parallel()
	const lease = 3 * time.Second
	dir := t.TempDir()
	auth := check.Must[*emulator.Authority](t)(emulator.NewAuthority(dir))
	var voters, addrs []string
	for i := range 3 {
		addrs = append(addrs, check.UnusedAddr(t))
		voters = append(voters, "--voter", fmt.Sprintf("n%02d=%s", i, addrs[i]))
	}
	f := startFleet(t, testbed.FleetOptions{Members: 4, MembersTable: "group = true", QuotaLeases: true, ExtraTables: func(i int) string {
		cert, key, err := auth.Issue(consensus.VoterName)
		if err != nil {
			t.Fatal(err)
		}
		own := ""
		if i < 3 {
			own = fmt.Sprintf("listen = %q\nfolder = %q\n", addrs[i], filepath.Join(dir, fmt.Sprint("group", i)))
		}
		return fmt.Sprintf("[cluster]\nvoters = [%q, %q, %q]\n%scertificate = %q\nkey = %q\nauthorities = %q\nlease = %q\n",
			addrs[0], addrs[1], addrs[2], own, cert, key, auth.File, lease)
	}})
	for i := range 3 {
		cmd := rootCommand()
		cmd.SetArgs(append([]string{"cluster", "begin", "-c", f.File(i)}, voters...))
		if err := cmd.ExecuteContext(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	startMembers(t, f, numbers(0, 4)...)
	awaitAgreement(t, f, "four members with a group", numbers(0, 4)...)
	check.Eventually(t, "all have gossiped of their leases", func() bool {
		for i := range 4 {
			all, err := f.Members(i)
			if err != nil || slices.ContainsFunc(all, func(m gossip.Member) bool { return m.Notes["group"].Text == "" }) {
				return false
			}
		}
		return true
	})
	f.Kill(3)
	awaitAgreement(t, f, "the group says that one has ended", numbers(0, 3)...)
	if err := f.Pause(true, 2); err != nil {
		t.Fatal(err)
	}
	awaitAgreement(t, f, "one is stopped for longer than its lease", 0, 1)
	if err := f.Pause(false, 2); err != nil {
		t.Fatal(err)
	}
	awaitAgreement(t, f, "it is back in a new life", numbers(0, 3)...)
	f.Kill(1, 2)
	check.Eventually(t, "without a majority nothing is proven, and the last has no lease", func() bool {
		all, err := f.Members(0)
		return err == nil && strings.Contains(f.Process(0).Logged(), "lease of the consensus group lost") && !slices.ContainsFunc(all, func(m gossip.Member) bool { return m.Quota > 0 && m.Self })
	})
	startMembers(t, f, 1, 2)
	awaitAgreement(t, f, "with the majority back all begin anew", numbers(0, 3)...)
}

// TestTwoMembersOfOneName has a second process use a member's name from another folder: the log
// says so, and the second waits until the first has left, from which nothing is taken.
func TestTwoMembersOfOneName(t *testing.T) {
	t.Parallel()
	f := startFleet(t, testbed.FleetOptions{Members: 3})
	text := check.Must[[]byte](t)(os.ReadFile(f.File(2)))
	text = bytes.Replace(text, []byte(`name = "n02"`), []byte(`name = "n01"`), 1)
	if err := os.WriteFile(f.File(2), text, 0o600); err != nil {
		t.Fatal(err)
	}
	startMembers(t, f, 0, 1)
	awaitAgreement(t, f, "two members", 0, 1)
	startMembers(t, f, 2)
	check.Eventually(t, "the first logs that there is a second", func() bool {
		return strings.Contains(f.Process(1).Logged(), "a second process goes by a member's name")
	})
	all, err := f.Members(2)
	if err != nil || slices.ContainsFunc(all, func(m gossip.Member) bool { return m.Self && m.Quota > 0 }) {
		t.Errorf("the second tells of %+v: %v", all, err)
	}
	awaitAgreement(t, f, "the first two are as before", 0, 1)
	if err := f.Terminate(1); err != nil {
		t.Error(err)
	}
	check.Eventually(t, "the second has the first one's place once it has left", func() bool {
		all, err := f.Members(2)
		return err == nil && len(all) == 2 && all[1].State == "serving" && all[1].Quota == 0.5
	})
}

// TestFleetIgnoresOtherTraffic floods a member with traffic that is not of its fleet: it is
// counted, and changes nothing.
func TestFleetIgnoresOtherTraffic(t *testing.T) {
	t.Parallel()
	f := startFleet(t, testbed.FleetOptions{Members: 3, MembersTable: `keys = ["MDEyMzQ1Njc4OWFiY2RlZg=="]`})
	startMembers(t, f, 0, 1, 2)
	awaitAgreement(t, f, "three with a key", 0, 1, 2)
	c := check.Must[*net.UDPConn](t)(net.DialUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(f.StrangerAddr(), 0)), net.UDPAddrFromAddrPort(f.ListenAddr(0))))
	defer c.Close()
	forged := []byte(`\x08{"n":"n01","l":99999999999999999,"q":9,"w":1000000,"t":2,"d":1}`)
	for i := range 20_000 {
		_, _ = c.Write(append(forged, bytes.Repeat([]byte{byte(i)}, i%1000)...))
	}
	s := check.Must[net.Conn](t)(net.Dial("tcp4", f.ListenAddr(0).String()))
	defer s.Close()
	_, _ = s.Write(bytes.Repeat([]byte("x"), 1<<20))
	awaitAgreement(t, f, "the three are as before", 0, 1, 2)
}

// TestOperatorsConfirmEnds has operators confirm what members cannot know: that one that is lost
// for good has ended, and that a fleet of which all have ended begins anew.
func TestOperatorsConfirmEnds(t *testing.T) {
	t.Parallel()
	f := startFleet(t, testbed.FleetOptions{Members: 3})
	startMembers(t, f, 0, 1, 2)
	awaitAgreement(t, f, "three members", 0, 1, 2)
	check.Eventually(t, "each knows the load of all", func() bool {
		all, err := f.Members(0)
		return err == nil && !slices.ContainsFunc(all, func(m gossip.Member) bool { return m.Notes["load"].Text != "0.0" })
	})
	all, err := f.Members(0)
	if err != nil || len(all) != 3 {
		t.Fatal(all, err)
	}
	f.Kill(2)
	var out bytes.Buffer
	run := func(words ...string) error {
		out.Reset()
		cmd := rootCommand()
		cmd.SetOut(&out)
		cmd.SetArgs(append([]string{"members"}, words...))
		return cmd.ExecuteContext(t.Context())
	}
	if err := run("ended", "n02", fmt.Sprint(all[2].Incarnation+1), "--at", f.AdminAddr(0)); err == nil {
		t.Error("an unknown life was said to have ended")
	}
	if err := run("ended", "n02", fmt.Sprint(all[2].Incarnation), "--at", f.AdminAddr(0)); err != nil {
		t.Error(err)
	}
	awaitAgreement(t, f, "two, as the third was said to have ended", 0, 1)
	f.Kill(0, 1)
	startMembers(t, f, 0, 1)
	check.Eventually(t, "both are back, and nobody serves", func() bool {
		s, part := memberState(f, 1, 0)
		// Member 1 announces itself by gossip before its admin server listens.
		_, err := f.Members(1)
		return s == "joining" && part == 0 && err == nil
	})
	if err := run("begin", "--at", f.AdminAddr(1)); err != nil {
		t.Error(err)
	}
	awaitAgreement(t, f, "both serve", 0, 1)
	if err := run("--at", f.AdminAddr(0)); err != nil || !strings.Contains(out.String(), "n01") || !strings.Contains(out.String(), "0.5000") {
		t.Errorf("%v: %s", err, &out)
	}
}
