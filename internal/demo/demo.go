// Package demo shows the node at work with nothing set up: stand-in servers,
// discovery, the node with two services, and a bounded mixed load, all on
// loopback and in one process.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"jasperpin/internal/emulator"
	"jasperpin/internal/node"
)

// Options say how the demo runs.
type Options struct {
	For  time.Duration // how long requests are sent
	Rate float64       // requests a second and service
	Seed uint64
	Live bool // draw a line of progress
}

// Kinds are the demo's requests.
var (
	Look   = emulator.Kind{Class: "look", Path: "/look/", Method: "GET", Share: 6, Work: 8 * time.Millisecond, Aim: 150 * time.Millisecond, Deadline: time.Second}
	Order  = emulator.Kind{Class: "order", Path: "/order/", Method: "POST", Share: 3, Work: 16 * time.Millisecond, Aim: 300 * time.Millisecond, Deadline: 2 * time.Second, Keyed: true, Body: 300}
	Credit = emulator.Kind{Class: "credit", Path: "/credit/", Method: "POST", Share: 1, Work: 16 * time.Millisecond, Aim: 300 * time.Millisecond, Deadline: 2 * time.Second, Body: 300}
)

// Classes are the kinds in the file's words, for a pool.
const Classes = `
[[pool.class]]
name = "look"
repeat = "safe"
aim = "150ms"
deadline = "1s"
[[pool.class]]
name = "order"
repeat = "keyed"
remember = "10s"
aim = "300ms"
deadline = "2s"
worth = 5
[[pool.class]]
name = "credit"
repeat = "never"
aim = "300ms"
deadline = "2s"
worth = 3
`

// Run runs the demo and prints what became of each service's requests by class.
func Run(ctx context.Context, o Options, out io.Writer) error {
	var ends []io.Closer
	defer func() {
		for _, c := range ends {
			_ = c.Close()
		}
	}()
	speeds := []float64{1.3, 1, 0.9, 0.7}
	var boxes []*emulator.Box
	var addrs []string
	var listed []emulator.Entry
	for i := range 2 * len(speeds) {
		b, err := emulator.NewBox(emulator.BoxSettings{Speed: speeds[i%len(speeds)], Cores: 2, Queue: 40, Window: 10 * time.Second, Stops: i%2 == 0})
		if err != nil {
			return err
		}
		boxes, ends = append(boxes, b), append(ends, b)
		if i < len(speeds) {
			listed = append(listed, b.Entry())
		} else {
			addrs = append(addrs, fmt.Sprintf("%q", b.Addr))
		}
	}
	d, err := emulator.NewDiscovery(listed...)
	if err != nil {
		return err
	}
	ends = append(ends, d)
	dir, err := os.MkdirTemp("", "jasperpin-demo")
	if err != nil {
		return fmt.Errorf("a place for the demo's file: %w", err)
	}
	defer os.RemoveAll(dir)
	file := filepath.Join(dir, "demo.toml")
	text := fmt.Sprintf(`[node]
listen = ["127.0.0.1:0"]
[[service]]
name = "orders"
[[service.route]]
hosts = ["orders.example.org"]
pool = "orders"
[[service]]
name = "stock"
[[service.route]]
hosts = ["stock.example.org"]
pool = "stock"
[[pool]]
name = "orders"
protocol = "platform"
discovery = %q
%s
[[pool]]
name = "stock"
servers = [%s]
%s`, d.Addr, Classes, strings.Join(addrs, ", "), Classes)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return fmt.Errorf("the demo's file: %w", err)
	}
	n, err := node.Start(node.File{Path: file}, slog.New(slog.DiscardHandler))
	if err != nil {
		return err
	}
	nodeCtx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(nodeCtx, nil) }()
	defer stop()

	fmt.Fprintf(out, "one node at %s, 2 services, %d stand-in servers; %.0f requests a second each for %v\n", n.Addrs()[0], len(boxes), o.Rate, o.For)
	fmt.Fprintf(out, "half way one server of each service falls silent; later the last one of stock answers 500\n")
	names := []string{"orders", "stock"}
	loads := make(map[string]*emulator.Running)
	for i, name := range names {
		l := &emulator.Load{
			Addr: n.Addrs()[0], Host: name + ".example.org", Rate: o.Rate, For: o.For, Seed: o.Seed + uint64(i), Retries: 1,
			Kinds: []emulator.Kind{Look, Order, Credit}, Prefix: name + "-",
		}
		loads[name] = l.Start(ctx)
	}
	trouble := []struct {
		at   time.Duration
		what func()
	}{
		{o.For / 2, func() { boxes[0].Turn(emulator.Silent); boxes[len(speeds)].Turn(emulator.Silent) }},
		{o.For * 3 / 4, func() { boxes[len(boxes)-1].Turn(emulator.Erring) }},
	}
	done := make(chan struct{})
	tallies := make(map[string]map[string]*emulator.Tally)
	go func() {
		defer close(done)
		for _, name := range names {
			tallies[name] = loads[name].Wait()
		}
	}()
	began := time.Now()
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-tick.C:
			for len(trouble) > 0 && time.Since(began) >= trouble[0].at {
				trouble[0].what()
				trouble = trouble[1:]
			}
		}
		if o.Live {
			fmt.Fprintf(out, "\r%5.1fs", time.Since(began).Seconds())
			for _, name := range names {
				fmt.Fprintf(out, "  %s: %d sent, %d ended", name, loads[name].Sent.Load(), loads[name].Ended.Load())
			}
		}
	}
	if o.Live {
		fmt.Fprintln(out)
	}
	stop()
	if err := <-ended; err != nil {
		return err
	}
	if ctx.Err() != nil {
		return errors.New("the demo was ended before its time")
	}
	attempts := make(map[string]map[string]int)
	for i, b := range boxes {
		name := names[i/len(speeds)]
		if attempts[name] == nil {
			attempts[name] = make(map[string]int)
		}
		for class, n := range b.Counts().Class {
			attempts[name][class] += n
		}
	}
	return report(out, names, tallies, attempts)
}

// report prints the table. A lost or wrong answer is an error: a node gives none.
func report(out io.Writer, names []string, tallies map[string]map[string]*emulator.Tally, attempts map[string]map[string]int) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "service\tclass\tasked\tin time\tlate\trefused\tfailed\tp50 ms\tp99 ms\tattempts a request\t")
	bad := 0
	for _, name := range names {
		var kinds []string
		for class := range tallies[name] {
			kinds = append(kinds, class)
		}
		sort.Strings(kinds)
		for _, class := range kinds {
			t := tallies[name][class]
			ms := func(q float64) float64 { return float64(t.Quantile(q)) / float64(time.Millisecond) }
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.2f\t\n", name, class, t.Asked, t.Ends[emulator.InTime], t.Ends[emulator.Late],
				t.Ends[emulator.Refused], t.Ends[emulator.Failed], ms(0.5), ms(0.99), float64(attempts[name][class])/float64(max(t.Tries, 1)))
			bad += t.Ends[emulator.Lost] + t.Ends[emulator.Wrong]
		}
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("printing the table: %w", err)
	}
	if bad > 0 {
		return fmt.Errorf("%d requests got no answer or another's", bad)
	}
	return nil
}
