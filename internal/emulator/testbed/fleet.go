package testbed

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"jasperpin/internal/admin"
	"jasperpin/internal/gossip"
)

// Errors of CheckAgreement.
var (
	// ErrDisagree is returned if the list of a member differs from the expected one.
	ErrDisagree = errors.New("members disagree")
	// ErrEnded is returned if the process of a member ended by itself.
	ErrEnded = errors.New("process of a member ended by itself")
)

// FleetOptions configures a Fleet.
type FleetOptions struct {
	Members int
	Dir     string // directory of configuration files and logs
	Seed    uint64 // seed of the network's random decisions
	// StartNode starts a node with its configuration file.
	StartNode    func(dir, name, file string) (*Process, error)
	MembersTable string             // further lines of table [members]; empty for none
	ExtraTables  func(i int) string // further tables of each member's file; nil for none
	ExtraSeeds   []string           // seed addresses that precede those of the first two members
	// QuotaLeases says that a quota expires with its lease: a process that is paused for longer than its lease has
	// no quota until it logs a new one.
	QuotaLeases bool
}

// seedMembers is the number of members, from the first one on, that are seeds of all others.
const seedMembers = 2

// Service configures the service and the pool of a node that receives no requests.
const Service = `[[service]]
name = "s"
[[service.route]]
pool = "p"
[[pool]]
name = "p"
servers = ["127.0.0.1:1"]
[[pool.class]]
name = "look"
repeat = "safe"
aim = "1s"
deadline = "2s"
`

// Fleet is the members of one fleet, as processes, and the network between them. Its methods must not be called
// concurrently, except those of Network.
type Fleet struct {
	*Network
	options       FleetOptions
	processes     []*Process    // processes by member; nil while a member has none
	started       []incarnation // all processes that ever ran
	leaseExpiries []incarnation // processes that were paused for longer than their leases
}

// incarnation is a process of a member.
type incarnation struct {
	member  int
	process *Process
	ended   time.Time // when the end of the process was observed, or when the process was paused; zero while it runs
}

// NewFleet writes the configuration files of a fleet and opens its network. Start starts its processes.
func NewFleet(o FleetOptions) (*Fleet, error) {
	network, err := NewNetwork(o.Members, o.Seed)
	if err != nil {
		return nil, err
	}
	f := &Fleet{Network: network, options: o, processes: make([]*Process, o.Members)}
	for i := range o.Members {
		if err := f.writeConfig(i); err != nil {
			network.Close()
			return nil, err
		}
	}
	return f, nil
}

// Name returns the name of a member.
func (f *Fleet) Name(i int) string { return fmt.Sprintf("n%02d", i) }

// AdminAddr returns the admin address of a member.
func (f *Fleet) AdminAddr(i int) string {
	return "unix:" + filepath.Join(f.options.Dir, f.Name(i)+".door")
}

// File returns the path of a member's configuration file.
func (f *Fleet) File(i int) string { return filepath.Join(f.options.Dir, f.Name(i)+".toml") }

// writeConfig writes a member's configuration file. The first member bootstraps the fleet.
func (f *Fleet) writeConfig(i int) error {
	tables := ""
	if f.options.ExtraTables != nil {
		tables = f.options.ExtraTables(i)
	}
	text := fmt.Sprintf(`[node]
name = %q
listen = ["127.0.0.1:0"]
control = %q
[members]
listen = %q
advertise = %q
seeds = [%s]
first = %v
folder = %q
%s
%s%s
`, f.Name(i), f.AdminAddr(i), f.ListenAddr(i), f.AdvertisedAddr(i), f.quotedSeeds(i), i == 0, f.Name(i)+"-lives", f.options.MembersTable, Service, tables)
	if err := os.WriteFile(f.File(i), []byte(text), 0o600); err != nil {
		return fmt.Errorf("writing a member's configuration: %w", err)
	}
	return nil
}

// quotedSeeds returns the seed addresses of a member, quoted for its configuration file.
func (f *Fleet) quotedSeeds(i int) string {
	seeds := slices.Clone(f.options.ExtraSeeds)
	for s := range min(seedMembers, f.options.Members) {
		if s != i {
			seeds = append(seeds, f.AdvertisedAddr(s).String())
		}
	}
	for n, s := range seeds {
		seeds[n] = strconv.Quote(s)
	}
	return strings.Join(seeds, ", ")
}

// Start starts the processes of members that have none, one after another.
func (f *Fleet) Start(members ...int) error {
	for _, i := range members {
		p, err := f.options.StartNode(f.options.Dir, f.Name(i), f.File(i))
		if err != nil {
			return err
		}
		f.processes[i] = p
		f.started = append(f.started, incarnation{member: i, process: p})
	}
	return nil
}

// Running returns the members whose processes were started and not ended.
func (f *Fleet) Running() (all []int) {
	for i, p := range f.processes {
		if p != nil {
			all = append(all, i)
		}
	}
	return all
}

// Process returns the process of a member, or nil while none runs.
func (f *Fleet) Process(i int) *Process { return f.processes[i] }

// Kill ends the processes of members with SIGKILL.
func (f *Fleet) Kill(members ...int) {
	for _, i := range members {
		f.processes[i].Kill()
		f.recordEnd(i)
	}
}

// Terminate shuts members down with SIGTERM, all at once, and waits until their processes have ended.
func (f *Fleet) Terminate(members ...int) error {
	errs := make([]error, len(members))
	var ending sync.WaitGroup
	for n, i := range members {
		ending.Go(func() { errs[n] = f.processes[i].Terminate() })
	}
	ending.Wait()
	for _, i := range members {
		f.recordEnd(i)
	}
	return errors.Join(errs...)
}

// AwaitExit waits until the process of a member has ended by itself, and returns its exit error.
func (f *Fleet) AwaitExit(i int) error {
	<-f.processes[i].Ended()
	err := f.processes[i].Failure()
	f.recordEnd(i)
	return err
}

func (f *Fleet) recordEnd(i int) {
	for n := range f.started {
		if f.started[n].process == f.processes[i] {
			f.started[n].ended = time.Now()
		}
	}
	f.processes[i] = nil
}

// Pause stops members' processes with SIGSTOP, or resumes them with SIGCONT.
func (f *Fleet) Pause(on bool, members ...int) error {
	sig := syscall.SIGCONT
	if on {
		sig = syscall.SIGSTOP
	}
	var errs []error
	for _, i := range members {
		errs = append(errs, f.processes[i].Signal(sig))
		if on && f.options.QuotaLeases {
			f.leaseExpiries = append(f.leaseExpiries, incarnation{i, f.processes[i], time.Now()})
		}
	}
	return errors.Join(errs...)
}

// Close kills all processes that run, and closes the network.
func (f *Fleet) Close() {
	for _, i := range f.Running() {
		f.processes[i].Kill()
	}
	f.Network.Close()
}

// membersTimeout is the timeout of the admin call that lists the members.
const membersTimeout = 2 * time.Second

// Members returns all members that a member lists.
func (f *Fleet) Members(i int) ([]gossip.Member, error) {
	ctx, cancel := context.WithTimeout(context.Background(), membersTimeout)
	defer cancel()
	lines, err := admin.Call(ctx, f.AdminAddr(i), "members")
	if err != nil {
		return nil, err
	}
	return gossip.ReadMembers(lines)
}

// CheckAgreement returns nil if each of the given members lists exactly these members, all serving and with equal
// quotas. Otherwise it returns an ErrEnded that names a member whose process ended, an ErrDisagree that names a member
// whose list differs, or the error of the call that lists a member's members.
func (f *Fleet) CheckAgreement(members ...int) error {
	names := make([]string, len(members))
	for n, i := range members {
		names[n] = f.Name(i)
		if err := f.checkRunning(i); err != nil {
			return err
		}
	}
	slices.Sort(names)
	for _, i := range members {
		if err := f.checkListed(i, names); err != nil {
			return err
		}
	}
	return nil
}

// checkRunning returns an ErrEnded if the process of a member ended by itself.
func (f *Fleet) checkRunning(i int) error {
	process := f.processes[i]
	if process == nil {
		return nil
	}
	select {
	case <-process.Ended():
		return fmt.Errorf("%w: %s: %w", ErrEnded, f.Name(i), process.Failure())
	default:
		return nil
	}
}

// checkListed checks the list of one member.
func (f *Fleet) checkListed(i int, names []string) error {
	all, err := f.Members(i)
	if err != nil {
		return err
	}
	var listed []string
	for _, m := range all {
		listed = append(listed, m.Name)
		if m.State != "serving" || m.Quota != 1/float64(len(names)) {
			return fmt.Errorf("%w: %s lists %s as %s, with a quota of %v among %d", ErrDisagree, f.Name(i), m.Name, m.State, m.Quota, len(names))
		}
	}
	if !slices.Equal(listed, names) {
		return fmt.Errorf("%w: %s lists %v, want %v", ErrDisagree, f.Name(i), listed, names)
	}
	return nil
}

// NonMemberAddr returns a loopback address in the block of the members that belongs to no member.
func (f *Fleet) NonMemberAddr() netip.Addr {
	b := f.listenAddrs[0].As4()
	b[2], b[3] = 2, 1
	return netip.AddrFrom4(b)
}

// Logged returns the logs of all processes.
func (f *Fleet) Logged() string {
	var all strings.Builder
	for _, s := range f.started {
		fmt.Fprintf(&all, "%s:\n%s\n", f.Name(s.member), s.process.Logged())
	}
	return all.String()
}
