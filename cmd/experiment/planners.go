package main

import (
	"context"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/testbed"
	"jasperpin/internal/plannerrpc"
)

// The tier: boxes of mixed speed at one site, before them forwarders or nodes of one
// level, and planners that all forwarders ask in one order. 24 boxes have 46.8 cores
// of the yardstick, which the mean work of 44.6 ms fills at 1,049 requests a second.
const (
	tierBoxes    = 24
	tierNodes    = 4
	tierPlanners = 3
	tierCapacity = 1049.0
	tierWarmUp   = 2500 * time.Millisecond
	tierSpan     = 4 * time.Second
	burstAt      = time.Second
	burstFor     = 2 * time.Second
	failAt       = 1500 * time.Millisecond // within the burst
)

var tierKinds = []emulator.Kind{
	{Class: "look", Path: "/look/", Method: "GET", Share: 0.45, Work: 30 * time.Millisecond, Aim: 300 * time.Millisecond, Deadline: time.Second},
	{Class: "find", Path: "/find/", Method: "GET", Share: 0.27, Work: 40 * time.Millisecond, Aim: 320 * time.Millisecond, Deadline: 1200 * time.Millisecond},
	{Class: "order", Path: "/order/", Method: "POST", Share: 0.18, Work: 68 * time.Millisecond, Aim: 800 * time.Millisecond, Deadline: 2400 * time.Millisecond, Keyed: true},
	{Class: "credit", Path: "/credit/", Method: "POST", Share: 0.10, Work: 80 * time.Millisecond, Aim: time.Second, Deadline: 2400 * time.Millisecond},
}

const tierClasses = `
[pool.cold]
start = 0.13
warm = "5s"
multiple = 2.5
[[pool.class]]
name = "look"
repeat = "safe"
aim = "300ms"
deadline = "1s"
[[pool.class]]
name = "find"
repeat = "safe"
aim = "320ms"
deadline = "1200ms"
[[pool.class]]
name = "order"
repeat = "keyed"
remember = "10s"
aim = "800ms"
deadline = "2400ms"
worth = 5
[[pool.class]]
name = "credit"
repeat = "never"
aim = "1s"
deadline = "2400ms"
worth = 3
`

// tierCase is one run of a tier.
type tierCase struct {
	name     string
	load     float64 // of capacity
	burst    float64 // more of it, for a time
	planners bool
	killed   int // planners that die within the burst
	restarts bool
}

// tierResult is what became of it.
type tierResult struct {
	emulator.Tally
	runs, twice      int
	nodeCPU, planCPU time.Duration
	bytes            int64 // between the levels
	sent             int64 // requests in all, the warm-up among them
}

// mostWorse is by how many standard errors of the difference, over the seeds, a killed
// planner, or none left, may push misses above one level's: what is within the noise.
const mostWorse = 2

func planners(ctx context.Context, out io.Writer) (figures, error) {
	dir, err := os.MkdirTemp("", "jasperpin-experiment")
	if err != nil {
		return nil, fmt.Errorf("a place for files: %w", err)
	}
	defer os.RemoveAll(dir)
	var cases []tierCase
	for _, with := range []bool{false, true} {
		for _, load := range []float64{0.5, 0.75, 0.95} {
			cases = append(cases, tierCase{name: fmt.Sprint("calm ", load), load: load, planners: with})
		}
		cases = append(cases, tierCase{name: "burst", load: 0.75, burst: 0.25, planners: with}, tierCase{name: "restarts", load: 0.75, restarts: true, planners: with})
	}
	cases = append(cases, tierCase{name: "burst", load: 0.75, burst: 0.25, planners: true, killed: 1}, tierCase{name: "burst", load: 0.75, burst: 0.25, planners: true, killed: tierPlanners})
	const seeds = 5
	results := make([][]*tierResult, len(cases))
	bad := 0
	for seed := uint64(31); seed < 31+seeds; seed++ {
		for i, c := range cases { // side by side in time, so that the machine's moods meet all
			r, err := playTier(ctx, dir, seed, c)
			if err != nil {
				return nil, fmt.Errorf("%s, seed %d: %w", c.label(), seed, err)
			}
			results[i] = append(results[i], r)
			bad += r.twice + r.Ends[emulator.Lost] + r.Ends[emulator.Wrong]
		}
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "case\tasked\tmissed %\tleast\tmost\tp50 ms\tp99 ms\truns a request\tforwarders us\tplanners us\tbytes between\tlost, wrong or twice\t")
	var f figures
	missed := make(map[string]perSeed)
	for i, c := range cases {
		var all tierResult
		var per perSeed
		for _, r := range results[i] {
			all.Add(&r.Tally)
			all.runs, all.twice = all.runs+r.runs, all.twice+r.twice
			all.nodeCPU, all.planCPU = all.nodeCPU+r.nodeCPU, all.planCPU+r.planCPU
			all.bytes, all.sent = all.bytes+r.bytes, all.sent+r.sent
			per = append(per, 100*r.Missed())
		}
		us := func(d time.Duration) float64 { return float64(d.Microseconds()) / float64(max(all.sent, 1)) }
		missed[c.label()] = per
		fmt.Fprintf(w, "%s\t%d\t%.2f\t%.2f\t%.2f\t%.1f\t%.1f\t%.3f\t%.0f\t%.0f\t%.0f\t%d\t\n", c.label(), all.Asked, 100*all.Missed(), slices.Min(per), slices.Max(per),
			ms(all.Quantile(0.5)), ms(all.Quantile(0.99)), float64(all.runs)/float64(max(all.sent, 1)), us(all.nodeCPU), us(all.planCPU),
			float64(all.bytes)/float64(max(all.sent, 1)), all.twice+all.Ends[emulator.Lost]+all.Ends[emulator.Wrong])
		f.add(strings.NewReplacer(" ", "_", ",", "").Replace(c.label())+"_missed_pct", "%.3f", 100*all.Missed())
	}
	if err := w.Flush(); err != nil {
		return nil, fmt.Errorf("printing the table: %w", err)
	}
	one := missed["burst, one level"]
	for _, label := range []string{"burst, planners, 1 killed", fmt.Sprintf("burst, planners, %d killed", tierPlanners)} {
		worse, noise := one.against(missed[label])
		f.add(strings.NewReplacer(" ", "_", ",", "").Replace(label)+"_worse_points", "%.2f", worse)
		f.add("noise_points", "%.2f", noise)
		if worse > mostWorse*noise {
			return f, fmt.Errorf("%w: %s: %.2f points more missed than at one level, with a standard error of %.2f", errBound, label, worse, noise)
		}
	}
	if bad > 0 {
		return f, fmt.Errorf("%w: %d answers lost or wrong, or requests that ran twice", errBound, bad)
	}
	return f, nil
}

// perSeed is a figure for each seed.
type perSeed []float64

// against says by how much another's figures lie higher on average, seed by seed, and
// the standard error of that.
func (p perSeed) against(o perSeed) (diff, err float64) {
	n := float64(len(p))
	for i := range p {
		diff += (o[i] - p[i]) / n
	}
	for i := range p {
		d := o[i] - p[i] - diff
		err += d * d / (n - 1)
	}
	return diff, math.Sqrt(err / n)
}

func (c tierCase) label() string {
	label := c.name + ", one level"
	if c.planners {
		label = c.name + ", planners"
	}
	if c.killed > 0 {
		label += fmt.Sprintf(", %d killed", c.killed)
	}
	return label
}

// tierFiles are the parts of the ends' files.
type tierFiles struct {
	dir, pool, security string
}

func (t *tierFiles) write(name, text string) (string, error) {
	file := filepath.Join(t.dir, name+".toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return "", fmt.Errorf("the file of %s: %w", name, err)
	}
	return file, nil
}

// playTier plays one case with one seed.
func playTier(ctx context.Context, dir string, seed uint64, c tierCase) (*tierResult, error) {
	rack := &rack{memory: emulator.NewMemory()}
	defer rack.close()
	if err := rack.fill(); err != nil {
		return nil, err
	}
	t := &tierFiles{dir: dir, pool: fmt.Sprintf("[[pool]]\nname = \"app\"\nprotocol = \"platform\"\nshare = 1.0\ndiscovery = %q\n%s", rack.discovery.Addr, tierClasses)}
	auth, err := emulator.NewAuthority(dir)
	if err != nil {
		return nil, err
	}
	cert, key, err := auth.Issue(plannerrpc.PlannerName)
	if err != nil {
		return nil, err
	}
	t.security = fmt.Sprintf("certificate = %q\nkey = %q\nauthorities = %q\n", cert, key, auth.File)
	var plan, nodes []*testbed.Process
	defer func() {
		for _, p := range slices.Concat(nodes, plan) {
			_ = p.End()
		}
	}()
	var addrs []string
	for n := 0; c.planners && n < tierPlanners; n++ {
		file, err := t.write(fmt.Sprint("planner", n), fmt.Sprintf("[node]\nname = \"p%d\"\nrole = \"planner\"\nseed = %d\n[planning]\nlisten = [\"127.0.0.1:0\"]\n", n, seed)+t.security+t.pool)
		if err != nil {
			return nil, err
		}
		p, err := start(dir, "node", file)
		if err != nil {
			return nil, err
		}
		plan, addrs = append(plan, p), append(addrs, p.Line)
	}
	for n := range tierNodes {
		text := fmt.Sprintf("[node]\nname = \"n%d\"\nlisten = [\"127.0.0.1:0\"]\nnumber = %d\nnodes = %d\nseed = %d\n", n, n, tierNodes, seed*10+uint64(n))
		if c.planners {
			text += "role = \"forwarder\"\n[planning]\nplanners = [\"" + strings.Join(addrs, "\", \"") + "\"]\n" + t.security
		}
		file, err := t.write(fmt.Sprint("node", n), text+"[limits]\nmemory = \"128MB\"\ndescriptors = 1024\n[[service]]\nname = \"app\"\n[[service.route]]\npool = \"app\"\n"+t.pool)
		if err != nil {
			return nil, err
		}
		p, err := start(dir, "node", file)
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, p)
	}
	r := &tierResult{}
	if err := r.play(ctx, seed, c, rack, nodes, plan); err != nil {
		return nil, err
	}
	for _, p := range nodes {
		d, err := p.CPU()
		if err != nil {
			return nil, err
		}
		r.nodeCPU += d
	}
	for i, p := range plan {
		if i < c.killed {
			continue // its figures died with it
		}
		d, err := p.CPU()
		if err != nil {
			return nil, err
		}
		r.planCPU += d
	}
	for _, p := range slices.Concat(nodes, plan) {
		_ = p.End()
	}
	for _, p := range plan {
		r.bytes += between(p.Logged())
	}
	nodes, plan = nil, nil
	for _, b := range rack.all {
		r.runs += b.Counts().Ran
	}
	r.twice = twice(rack.all)
	return r, ctx.Err()
}

// play sends the load: a warm-up that counts for nothing, then what counts, with a
// burst on top and its troubles.
func (r *tierResult) play(ctx context.Context, seed uint64, c tierCase, rack *rack, nodes, plan []*testbed.Process) error {
	each := func(rate float64, span time.Duration, seed uint64, prefix string) (all []*emulator.Running) {
		for n, p := range nodes {
			l := &emulator.Load{
				Addr: p.Line, Host: "app", Rate: rate * tierCapacity / tierNodes, For: span, Seed: seed*100 + uint64(n),
				Kinds: tierKinds, Prefix: fmt.Sprintf("%s%d-", prefix, n), Retries: 1,
			}
			all = append(all, l.Start(ctx))
		}
		return all
	}
	count := func(all []*emulator.Running, into *emulator.Tally) {
		for _, l := range all {
			tally := sum(l.Wait())
			into.Add(&tally)
			r.sent += int64(tally.Tries)
		}
	}
	var unused emulator.Tally
	count(each(c.load, tierWarmUp, seed+50, "w"), &unused)
	began := time.Now()
	at := func(d time.Duration, do func()) {
		t := time.NewTimer(time.Until(began.Add(d)))
		defer t.Stop()
		select {
		case <-t.C:
			do()
		case <-ctx.Done():
		}
	}
	var beside sync.WaitGroup
	var burst []*emulator.Running
	var failed error
	if c.burst > 0 {
		beside.Go(func() { at(burstAt, func() { burst = each(c.burst, burstFor, seed+70, "b") }) })
	}
	if c.killed > 0 {
		beside.Go(func() {
			at(failAt, func() {
				for _, p := range plan[:c.killed] {
					p.Kill()
				}
			})
		})
	}
	if c.restarts {
		beside.Go(func() {
			for n := range 5 {
				at(time.Duration(n)*700*time.Millisecond, func() {
					if err := rack.restart((n*7 + int(seed)) % tierBoxes); err != nil {
						failed = err
					}
				})
			}
		})
	}
	main := each(c.load, tierSpan, seed, "m")
	beside.Wait()
	count(main, &r.Tally)
	count(burst, &r.Tally)
	return failed
}

var leftLine = regexp.MustCompile(`bytes_heard=(\d+) bytes_said=(\d+)`)

// between sums the bytes that a planner's log tells of.
func between(log string) (sum int64) {
	for _, m := range leftLine.FindAllStringSubmatch(log, -1) {
		for _, text := range m[1:] {
			n, _ := strconv.ParseInt(text, 10, 64) // digits, as matched
			sum += n
		}
	}
	return sum
}

// rack is the boxes and the discovery that lists them.
type rack struct {
	discovery *emulator.Discovery
	memory    *emulator.Memory // the pool drops repeats as one group
	boxes     []*emulator.Box  // in use
	all       []*emulator.Box  // that ever were
}

func (r *rack) box(n int, cold bool) (*emulator.Box, error) {
	set := emulator.BoxSettings{Name: fmt.Sprint("box", n), Speed: speeds[n%len(speeds)], Cores: 2, Queue: 16, Window: 10 * time.Second, Memory: r.memory, Stops: true}
	if cold {
		set.ColdFrom, set.Warm = 0.13, 5*time.Second
	}
	b, err := emulator.NewBox(set)
	if err == nil {
		r.all = append(r.all, b)
	}
	return b, err
}

func (r *rack) list() (list []emulator.Entry) {
	for _, b := range r.boxes {
		e := b.Entry()
		e.Share = 2 * b.Speed
		list = append(list, e)
	}
	return list
}

func (r *rack) fill() error {
	for n := range tierBoxes {
		b, err := r.box(n, false)
		if err != nil {
			return err
		}
		r.boxes = append(r.boxes, b)
	}
	var err error
	r.discovery, err = emulator.NewDiscovery(r.list()...)
	return err
}

// restart has a box's process end, and another begin in its place, cold.
func (r *rack) restart(n int) error {
	b, err := r.box(n, true)
	if err != nil {
		return err
	}
	was := r.boxes[n]
	r.boxes[n] = b
	r.discovery.Set(r.list()...)
	return was.Close()
}

func (r *rack) close() {
	for _, b := range r.all {
		_ = b.Close()
	}
	if r.discovery != nil {
		_ = r.discovery.Close()
	}
}
