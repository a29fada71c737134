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
	// maxInterference is the maximum increase of a service's missed objectives that its neighbor may cause, in
	// percentage points, on average over the seeds.
	maxInterference = 0.5
	// serversPerService servers have cores equivalent to 7.8 cores of speed 1. With a mean work of 11.2 ms,
	// serviceCapacity requests per second saturate them.
	serversPerService = 4
	serviceCapacity   = 696.0
	// usualLoadShare is the usual load of a service, as a share of its capacity.
	usualLoadShare      = 1.0 / 4
	serviceSpan         = 5 * time.Second
	reloadCount         = 50
	reloadSpan          = 10 * time.Second
	reloadPause         = reloadSpan / 60
	reloadedPoolServers = 8 // half of them are in use at a time
)

// The services: stock is observed, orders is its neighbor.
const (
	stockService  = "stock"
	ordersService = "orders"
)

// serviceSeeds are the seeds with which each case is run, and reloadSeed is the seed of the reloads.
var serviceSeeds = []uint64{11, 12, 13, 14, 15}

const reloadSeed = 21

// serverSpeeds are the speeds of servers, assigned round robin.
var serverSpeeds = []float64{1.3, 1, 0.9, 0.7}

// neighbor is a state of the neighbor service.
type neighbor struct {
	name   string
	rate   float64 // requests a second; 0 for none
	silent bool    // the neighbor's servers never answer
}

var (
	noNeighbor         = neighbor{name: "none"}
	overloadedNeighbor = neighbor{name: "at 3 times its capacity", rate: 3 * serviceCapacity}
	silentNeighbor     = neighbor{name: "silent", rate: serviceCapacity / 4, silent: true}
)

// serviceResult holds the results of the clients of both services.
type serviceResult struct {
	stock, orders emulator.Tally
	twice         int // requests that may be executed at most once, but were executed more than once
}

// lostOrWrong counts the requests that got no answer, or a wrong one.
func (r *serviceResult) lostOrWrong() (n int) {
	for _, t := range []emulator.Tally{r.stock, r.orders} {
		n += t.Results[emulator.Lost] + t.Results[emulator.Wrong]
	}
	return n
}

// violations counts the outcomes that must never happen.
func (r *serviceResult) violations() int { return r.twice + r.lostOrWrong() }

// servicesRun measures the effects on a service of an overloaded or silent neighbor, and of reloads.
func servicesRun(ctx context.Context, out io.Writer) (measurements, error) {
	dir, err := tempDir()
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "seed\tneighbor\tstock requests\tmissed %\tp50 ms\tp99 ms\torders requests\tin time\trejected\tfailed\tlost or wrong\texecuted twice\t")
	missed := make(map[neighbor]float64) // percentage of missed objectives, mean over the seeds
	violations := 0
	for _, seed := range serviceSeeds {
		for _, n := range []neighbor{noNeighbor, overloadedNeighbor, silentNeighbor} {
			r, err := runBesideNeighbor(ctx, dir, seed, n)
			if err != nil {
				return nil, err
			}
			missed[n] += 100 * r.stock.Missed() / float64(len(serviceSeeds))
			violations += r.violations()
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
	var measured measurements
	overloaded, silent := missed[overloadedNeighbor]-missed[noNeighbor], missed[silentNeighbor]-missed[noNeighbor]
	measured.add("alone_missed_pct", "%.3f", missed[noNeighbor])
	measured.add("overloaded_diff_points", "%.3f", overloaded)
	measured.add("silent_diff_points", "%.3f", silent)
	measured.add("reload_lost", "%d", reloads.lostOrWrong())
	measured.add("reload_doubled", "%d", reloads.twice)
	if overloaded > maxInterference || silent > maxInterference || reloads.violations() > 0 || violations > 0 {
		return measured, fmt.Errorf("%w: a neighbor adds more than %.1f points of missed objectives, or a request was lost, got a wrong answer or was executed twice", errBound, maxInterference)
	}
	return measured, nil
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

// serviceFile returns a node's configuration file with a service and its pool for each element of pools.
func serviceFile(pools ...servicePool) string {
	text := "[node]\nlisten = [\"127.0.0.1:0\"]\n[limits]\nmemory = \"128MB\"\ndescriptors = 1024\n"
	for _, p := range pools {
		text += fmt.Sprintf("[[service]]\nname = %q\n[[service.route]]\nhosts = [\"%s.example.org\"]\npool = %q\n", p.name, p.name, p.name)
		text += fmt.Sprintf("[[pool]]\nname = %q\nprotocol = \"platform\"\nservers = [\"%s\"]\n", p.name, strings.Join(p.addrs, "\", \"")) + demo.Classes
	}
	return text
}

// serviceLoad returns the load of a service.
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
	stockLoad := serviceLoad(p.Announcement, stockService, serviceCapacity*usualLoadShare, serviceSpan, seed).Start(ctx)
	if n.rate > 0 {
		r.orders = totalOf(serviceLoad(p.Announcement, ordersService, n.rate, serviceSpan, seed+100).Start(ctx).Wait())
	}
	r.stock = totalOf(stockLoad.Wait())
	r.twice = executedTwice(append(stock, orders...))
	return r, ctx.Err()
}

// reloadFiles returns the configuration files that reloads cycle through. The node starts with the first one. The
// others have no orders service, other servers in the orders pool, and other settings of that pool.
func reloadFiles(stockAddrs, orderAddrs []string) []string {
	stock := servicePool{stockService, stockAddrs}
	half := reloadedPoolServers / 2
	first := serviceFile(stock, servicePool{ordersService, orderAddrs[:half]})
	firstServer := "servers = [\"" + orderAddrs[0]
	return []string{
		first,
		serviceFile(stock),
		serviceFile(stock, servicePool{ordersService, orderAddrs[half:]}),
		strings.Replace(first, "protocol = \"platform\"\n"+firstServer, "protocol = \"platform\"\nattempts = 2\n"+firstServer, 1),
	}
}

// runReloads reloads changes of the orders pool while both services receive requests.
func runReloads(ctx context.Context, dir string) (*serviceResult, error) {
	stock, stockAddrs, err := startMixedServers(serversPerService)
	if err != nil {
		return nil, err
	}
	defer closeAll(stock)
	orders, orderAddrs, err := startMixedServers(reloadedPoolServers)
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
	stockLoad := serviceLoad(p.Announcement, stockService, serviceCapacity*usualLoadShare, reloadSpan, reloadSeed).Start(ctx)
	ordersLoad := serviceLoad(p.Announcement, ordersService, serviceCapacity*usualLoadShare, reloadSpan, reloadSeed+1).Start(ctx)
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
