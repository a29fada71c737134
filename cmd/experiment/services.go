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

const (
	// maxInterference is by how many percentage points of missed objectives, on average over the seeds, a
	// service may suffer from its neighbor.
	maxInterference = 0.5
	// serversPerService servers have 7.8 cores of the usual speed, which the mean work of 11.2 ms keeps
	// busy at serviceCapacity requests a second.
	serversPerService = 4
	serviceCapacity   = 696.0
	// usualLoad is the part of its capacity that the observed service gets.
	usualLoad    = 1.0 / 4
	serviceSpan  = 5 * time.Second
	reloadCount  = 50
	reloadSpan   = 10 * time.Second
	reloadPause  = reloadSpan / 60
	reloadedPool = 8 // servers, half of which are in use at a time
)

// The services: stock is observed, orders is its neighbor.
const (
	stockService  = "stock"
	ordersService = "orders"
)

// serviceSeeds are the seeds on which each case is run, and reloadSeed that of the reloads.
var serviceSeeds = []uint64{11, 12, 13, 14, 15}

const reloadSeed = 21

// serverSpeeds are the speeds of servers, in turn.
var serverSpeeds = []float64{1.3, 1, 0.9, 0.7}

// neighbor is a state of the service beside the observed one.
type neighbor struct {
	name   string
	rate   float64 // requests a second; 0 for none
	silent bool    // its servers never answer
}

var (
	noNeighbor         = neighbor{name: "none"}
	overloadedNeighbor = neighbor{name: "at 3 times its capacity", rate: 3 * serviceCapacity}
	silentNeighbor     = neighbor{name: "silent", rate: serviceCapacity / 4, silent: true}
)

// serviceResult is what clients of both services saw.
type serviceResult struct {
	stock, orders emulator.Tally
	twice         int // requests that must not be repeated and were executed twice
}

// lostOrWrong counts the requests without an answer, or with another one's.
func (r *serviceResult) lostOrWrong() (n int) {
	for _, t := range []emulator.Tally{r.stock, r.orders} {
		n += t.Results[emulator.Lost] + t.Results[emulator.Wrong]
	}
	return n
}

// bad counts what must never happen.
func (r *serviceResult) bad() int { return r.twice + r.lostOrWrong() }

// servicesRun measures what a service suffers from an overloaded or silent neighbor, and from reloads.
func servicesRun(ctx context.Context, out io.Writer) (measurements, error) {
	dir, err := tempDir()
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "seed\tneighbor\tstock asked\tmissed %\tp50 ms\tp99 ms\torders asked\tin time\trefused\tfailed\tlost or wrong\tran twice\t")
	missed := make(map[neighbor]float64) // percent, mean over the seeds
	bad := 0
	for _, seed := range serviceSeeds {
		for _, n := range []neighbor{noNeighbor, overloadedNeighbor, silentNeighbor} {
			r, err := runBesideNeighbor(ctx, dir, seed, n)
			if err != nil {
				return nil, err
			}
			missed[n] += 100 * r.stock.Missed() / float64(len(serviceSeeds))
			bad += r.bad()
			r.printRow(w, seed, n.name)
		}
	}
	reloads, err := runReloads(ctx, dir)
	if err != nil {
		return nil, err
	}
	reloads.printRow(w, reloadSeed, fmt.Sprintf("%d reloads", reloadCount))
	if err := flushTable(w); err != nil {
		return nil, err
	}
	var m measurements
	overloaded, silent := missed[overloadedNeighbor]-missed[noNeighbor], missed[silentNeighbor]-missed[noNeighbor]
	m.add("alone_missed_pct", "%.3f", missed[noNeighbor])
	m.add("overloaded_diff_points", "%.3f", overloaded)
	m.add("silent_diff_points", "%.3f", silent)
	m.add("reload_lost", "%d", reloads.lostOrWrong())
	m.add("reload_doubled", "%d", reloads.twice)
	if overloaded > maxInterference || silent > maxInterference || reloads.bad() > 0 || bad > 0 {
		return m, fmt.Errorf("%w: a neighbor costs more than %.1f points, or a request was lost, got a wrong answer or was executed twice", errBound, maxInterference)
	}
	return m, nil
}

func (r *serviceResult) printRow(w io.Writer, seed uint64, name string) {
	fmt.Fprintf(w, "%d\t%s\t%d\t%.2f\t%.1f\t%.1f\t%d\t%d\t%d\t%d\t%d\t%d\t\n", seed, name, r.stock.Requests, 100*r.stock.Missed(),
		milliseconds(r.stock.Quantile(0.5)), milliseconds(r.stock.Quantile(0.99)), r.orders.Requests, r.orders.Results[emulator.InTime],
		r.orders.Results[emulator.Rejected], r.orders.Results[emulator.Failed], r.lostOrWrong(), r.twice)
}

// startMixedServers starts servers of different speeds.
func startMixedServers(n int) (servers []*emulator.Server, addrs []string, err error) {
	for i := range n {
		s, err := emulator.NewServer(emulator.ServerSettings{
			Speed: serverSpeeds[i%len(serverSpeeds)], Cores: 2, Queue: 20, DedupWindow: 10 * time.Second, StopsOnCancel: i%2 == 0,
		})
		if err != nil {
			closeAll(servers)
			return nil, nil, err
		}
		servers, addrs = append(servers, s), append(addrs, s.Addr)
	}
	return servers, addrs, nil
}

// servicePool is a service and the servers of its pool.
type servicePool struct {
	name  string
	addrs []string
}

// serviceFile is a node's file with a service and a pool for each.
func serviceFile(pools ...servicePool) string {
	text := "[node]\nlisten = [\"127.0.0.1:0\"]\n[limits]\nmemory = \"128MB\"\ndescriptors = 1024\n"
	for _, p := range pools {
		text += fmt.Sprintf("[[service]]\nname = %q\n[[service.route]]\nhosts = [\"%s.example.org\"]\npool = %q\n", p.name, p.name, p.name)
		text += fmt.Sprintf("[[pool]]\nname = %q\nprotocol = \"platform\"\nservers = [\"%s\"]\n", p.name, strings.Join(p.addrs, "\", \"")) + demo.Classes
	}
	return text
}

// serviceLoad is the load of a service.
func serviceLoad(addr, service string, rate float64, duration time.Duration, seed uint64) *emulator.Load {
	return &emulator.Load{
		Addr: addr, Host: service + ".example.org", Rate: rate, Duration: duration, Seed: seed, IDPrefix: service + "-",
		Kinds: []emulator.RequestKind{demo.Look, demo.Order, demo.Credit},
	}
}

// runBesideNeighbor runs the observed service at its usual load beside a neighbor.
func runBesideNeighbor(ctx context.Context, dir string, seed uint64, n neighbor) (*serviceResult, error) {
	stock, stockAddrs, err := startMixedServers(serversPerService)
	if err != nil {
		return nil, err
	}
	defer closeAll(stock)
	orders, orderAddrs, err := startMixedServers(serversPerService)
	if err != nil {
		return nil, err
	}
	defer closeAll(orders)
	if n.silent {
		for _, s := range orders {
			s.SetMode(emulator.Silent)
		}
	}
	file := filepath.Join(dir, "services.toml")
	if err := writeNodeFile(file, serviceFile(servicePool{stockService, stockAddrs}, servicePool{ordersService, orderAddrs})); err != nil {
		return nil, err
	}
	p, err := startChild(dir, nodeChild, file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = p.Terminate() }()
	r := &serviceResult{}
	stockLoad := serviceLoad(p.Announcement, stockService, serviceCapacity*usualLoad, serviceSpan, seed).Start(ctx)
	if n.rate > 0 {
		r.orders = totalOf(serviceLoad(p.Announcement, ordersService, n.rate, serviceSpan, seed+100).Start(ctx).Wait())
	}
	r.stock = totalOf(stockLoad.Wait())
	r.twice = executedTwice(append(stock, orders...))
	return r, ctx.Err()
}

// reloadFiles are the files between which reloads alternate: other servers of the orders pool, no such
// service, and other settings. The first one is in force at the start.
func reloadFiles(stockAddrs, orderAddrs []string) []string {
	stock := servicePool{stockService, stockAddrs}
	half := reloadedPool / 2
	first := serviceFile(stock, servicePool{ordersService, orderAddrs[:half]})
	firstServer := "servers = [\"" + orderAddrs[0]
	return []string{
		first,
		serviceFile(stock),
		serviceFile(stock, servicePool{ordersService, orderAddrs[half:]}),
		strings.Replace(first, "protocol = \"platform\"\n"+firstServer, "protocol = \"platform\"\nattempts = 2\n"+firstServer, 1),
	}
}

// runReloads reloads changes of the orders pool while both services get requests.
func runReloads(ctx context.Context, dir string) (*serviceResult, error) {
	stock, stockAddrs, err := startMixedServers(serversPerService)
	if err != nil {
		return nil, err
	}
	defer closeAll(stock)
	orders, orderAddrs, err := startMixedServers(reloadedPool)
	if err != nil {
		return nil, err
	}
	defer closeAll(orders)
	files := reloadFiles(stockAddrs, orderAddrs)
	file := filepath.Join(dir, "reload.toml")
	if err := writeNodeFile(file, files[0]); err != nil {
		return nil, err
	}
	p, err := startChild(dir, nodeChild, file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = p.Terminate() }()
	stockLoad := serviceLoad(p.Announcement, stockService, serviceCapacity*usualLoad, reloadSpan, reloadSeed).Start(ctx)
	ordersLoad := serviceLoad(p.Announcement, ordersService, serviceCapacity*usualLoad, reloadSpan, reloadSeed+1).Start(ctx)
	for i := range reloadCount {
		if err := writeNodeFile(file, files[(i+1)%len(files)]); err != nil {
			return nil, err
		}
		if err := p.Reload(); err != nil {
			return nil, err
		}
		time.Sleep(reloadPause)
	}
	r := &serviceResult{stock: totalOf(stockLoad.Wait()), orders: totalOf(ordersLoad.Wait())}
	r.twice = executedTwice(append(stock, orders...))
	return r, ctx.Err()
}
