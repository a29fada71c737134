package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"jasperpin/internal/demo"
	"jasperpin/internal/emulator"
)

// Bounds of the scenario.
const (
	mostLeak = 0.5 // points of the calm service's missed aims, mean over the seeds
)

// serviceFile is a file with a service and a pool for each name, in order.
func serviceFile(pools ...[]string) string {
	text := "[node]\nlisten = [\"127.0.0.1:0\"]\n[limits]\nmemory = \"128MB\"\ndescriptors = 1024\n"
	for _, p := range pools {
		text += fmt.Sprintf("[[service]]\nname = %q\n[[service.route]]\nhosts = [\"%s.example.org\"]\npool = %q\n", p[0], p[0], p[0])
		text += fmt.Sprintf("[[pool]]\nname = %q\nprotocol = \"platform\"\nservers = [\"%s\"]\n", p[0], strings.Join(p[1:], "\", \"")) + demo.Classes
	}
	return text
}

// speeds of boxes, in turn.
var speeds = []float64{1.3, 1, 0.9, 0.7}

// stable is a group of boxes of mixed speed.
func stable(n int) (boxes []*emulator.Box, addrs []string, end func(), err error) {
	end = func() {
		for _, b := range boxes {
			_ = b.Close()
		}
	}
	for i := range n {
		b, err := emulator.NewBox(emulator.BoxSettings{Speed: speeds[i%len(speeds)], Cores: 2, Queue: 20, Window: 10 * time.Second, Stops: i%2 == 0})
		if err != nil {
			end()
			return nil, nil, nil, err
		}
		boxes, addrs = append(boxes, b), append(addrs, b.Addr)
	}
	return boxes, addrs, end, nil
}

// neighbour is what the other service is like. Four boxes have 7.8 cores of the
// yardstick, which the mean work of 11.2 ms fills at 696 requests a second.
type neighbour struct {
	name   string
	rate   float64
	silent bool
}

const serverCapacity = 696.0

func services(ctx context.Context, out io.Writer) (figures, error) {
	dir, err := os.MkdirTemp("", "jasperpin-experiment")
	if err != nil {
		return nil, fmt.Errorf("a place for files: %w", err)
	}
	defer os.RemoveAll(dir)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "seed\tneighbour\tstock asked\tmissed %\tp50 ms\tp99 ms\torders asked\tin time\trefused\tfailed\tlost or wrong\tran twice\t")
	cases := []neighbour{{"none", 0, false}, {"at 3 times its capacity", 3 * serverCapacity, false}, {"silent", serverCapacity / 4, true}}
	missed := make(map[string]float64)
	bad := 0
	seeds := []uint64{11, 12, 13, 14, 15}
	for _, seed := range seeds {
		for _, c := range cases {
			r, err := besides(ctx, dir, seed, c)
			if err != nil {
				return nil, err
			}
			missed[c.name] += 100 * r.stock.Missed() / float64(len(seeds))
			bad += r.bad()
			fmt.Fprintf(w, "%d\t%s\t%d\t%.2f\t%.1f\t%.1f\t%d\t%d\t%d\t%d\t%d\t%d\t\n", seed, c.name, r.stock.Asked, 100*r.stock.Missed(),
				ms(r.stock.Quantile(0.5)), ms(r.stock.Quantile(0.99)), r.orders.Asked, r.orders.Ends[emulator.InTime], r.orders.Ends[emulator.Refused],
				r.orders.Ends[emulator.Failed], r.bad()-r.twice, r.twice)
		}
	}
	reloads, err := reloading(ctx, dir)
	if err != nil {
		return nil, err
	}
	fmt.Fprintf(w, "21\t50 reloads\t%d\t%.2f\t%.1f\t%.1f\t%d\t%d\t%d\t%d\t%d\t%d\t\n", reloads.stock.Asked, 100*reloads.stock.Missed(),
		ms(reloads.stock.Quantile(0.5)), ms(reloads.stock.Quantile(0.99)), reloads.orders.Asked, reloads.orders.Ends[emulator.InTime],
		reloads.orders.Ends[emulator.Refused], reloads.orders.Ends[emulator.Failed], reloads.bad()-reloads.twice, reloads.twice)
	if err := w.Flush(); err != nil {
		return nil, fmt.Errorf("printing the table: %w", err)
	}
	var f figures
	over, silent := missed[cases[1].name]-missed["none"], missed["silent"]-missed["none"]
	f.add("alone_missed_pct", "%.3f", missed["none"])
	f.add("overloaded_diff_points", "%.3f", over)
	f.add("silent_diff_points", "%.3f", silent)
	f.add("reload_lost", "%d", reloads.bad()-reloads.twice)
	f.add("reload_doubled", "%d", reloads.twice)
	if over > mostLeak || silent > mostLeak || reloads.bad() > 0 || bad > 0 {
		return f, fmt.Errorf("%w: a neighbour's trouble shows by more than %.1f points, or an answer was lost, wrong or doubled", errBound, mostLeak)
	}
	return f, nil
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// result is what both services saw.
type result struct {
	stock, orders emulator.Tally
	twice         int // keyed or unsafe requests that took effect twice
}

func (r *result) bad() int {
	n := r.twice
	for _, t := range []emulator.Tally{r.stock, r.orders} {
		n += t.Ends[emulator.Lost] + t.Ends[emulator.Wrong]
	}
	return n
}

// twice counts the keyed or unsafe requests that took effect twice at some boxes.
func twice(boxes []*emulator.Box) (n int) {
	ran := make(map[string]int)
	for _, b := range boxes {
		b.Effects(ran)
	}
	for _, times := range ran {
		if times > 1 {
			n++
		}
	}
	return n
}

func load(addr, service string, rate float64, span time.Duration, seed uint64) *emulator.Load {
	return &emulator.Load{
		Addr: addr, Host: service + ".example.org", Rate: rate, For: span, Seed: seed, Prefix: service + "-",
		Kinds: []emulator.Kind{demo.Look, demo.Order, demo.Credit},
	}
}

func sum(tallies map[string]*emulator.Tally) (all emulator.Tally) {
	for _, t := range tallies {
		all.Add(t)
	}
	return all
}

// besides plays the calm service at a quarter of its capacity beside a neighbour.
func besides(ctx context.Context, dir string, seed uint64, c neighbour) (*result, error) {
	stock, stockAddrs, end, err := stable(4)
	if err != nil {
		return nil, err
	}
	defer end()
	orders, orderAddrs, end, err := stable(4)
	if err != nil {
		return nil, err
	}
	defer end()
	if c.silent {
		for _, b := range orders {
			b.Turn(emulator.Silent)
		}
	}
	file := filepath.Join(dir, "services.toml")
	if err := os.WriteFile(file, []byte(serviceFile(append([]string{"stock"}, stockAddrs...), append([]string{"orders"}, orderAddrs...))), 0o600); err != nil {
		return nil, fmt.Errorf("the node's file: %w", err)
	}
	p, err := start(dir, "node", file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = p.End() }()
	r := &result{}
	calm := load(p.Line, "stock", serverCapacity/4, 5*time.Second, seed).Start(ctx)
	if c.rate > 0 {
		r.orders = sum(load(p.Line, "orders", c.rate, 5*time.Second, seed+100).Start(ctx).Wait())
	}
	r.stock = sum(calm.Wait())
	r.twice = twice(append(stock, orders...))
	return r, ctx.Err()
}

// reloading changes the orders pool 50 times under load: other servers, gone,
// back, other settings.
func reloading(ctx context.Context, dir string) (*result, error) {
	stock, stockAddrs, end, err := stable(4)
	if err != nil {
		return nil, err
	}
	defer end()
	orders, orderAddrs, end, err := stable(8)
	if err != nil {
		return nil, err
	}
	defer end()
	keep := append([]string{"stock"}, stockAddrs...)
	first := serviceFile(keep, append([]string{"orders"}, orderAddrs[:4]...))
	files := []string{
		first, serviceFile(keep), serviceFile(keep, append([]string{"orders"}, orderAddrs[4:]...)),
		strings.Replace(first, "protocol = \"platform\"\nservers = [\""+orderAddrs[0], "protocol = \"platform\"\nattempts = 2\nservers = [\""+orderAddrs[0], 1),
	}
	file := filepath.Join(dir, "reload.toml")
	write := func(text string) error { return os.WriteFile(file, []byte(text), 0o600) }
	if err := write(first); err != nil {
		return nil, fmt.Errorf("the node's file: %w", err)
	}
	p, err := start(dir, "node", file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = p.End() }()
	const span = 10 * time.Second
	calm, busy := load(p.Line, "stock", serverCapacity/4, span, 21).Start(ctx), load(p.Line, "orders", serverCapacity/4, span, 22).Start(ctx)
	for i := range 50 {
		if err := write(files[(i+1)%len(files)]); err != nil {
			return nil, fmt.Errorf("the node's file: %w", err)
		}
		if err := p.Reload(); err != nil {
			return nil, err
		}
		time.Sleep(span / 60)
	}
	r := &result{stock: sum(calm.Wait()), orders: sum(busy.Wait())}
	r.twice = twice(append(stock, orders...))
	return r, ctx.Err()
}
