// Package demo runs a node without any setup: emulated servers, discovery, a node with two services and a bounded
// mixed load, all on loopback and in one process.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"time"

	"jasperpin/internal/emulator"
	"jasperpin/internal/node"
)

// Options configures the demo.
type Options struct {
	Duration     time.Duration // how long requests are sent
	Rate         float64       // requests a second to each service
	Seed         uint64
	ShowProgress bool // print a progress line and update it in place
}

// The kinds of requests that the demo sends.
var (
	Look   = emulator.RequestKind{Class: "look", Path: "/look/", Method: "GET", Weight: 6, Work: 8 * time.Millisecond, LatencyObjective: 150 * time.Millisecond, Deadline: time.Second}
	Order  = emulator.RequestKind{Class: "order", Path: "/order/", Method: "POST", Weight: 3, Work: 16 * time.Millisecond, LatencyObjective: 300 * time.Millisecond, Deadline: 2 * time.Second, Keyed: true, BodyBytes: 300}
	Credit = emulator.RequestKind{Class: "credit", Path: "/credit/", Method: "POST", Weight: 1, Work: 16 * time.Millisecond, LatencyObjective: 300 * time.Millisecond, Deadline: 2 * time.Second, BodyBytes: 300}
)

// Classes configures the kinds as classes of a pool, in the operator's configuration file.
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

// progressInterval is the interval at which the progress line is updated and due faults begin.
const progressInterval = 100 * time.Millisecond

var errInterrupted = errors.New("demo was interrupted")

// Run runs the demo and prints the results of the requests by service and class. It returns an error if a request
// got no answer or a wrong one, which a node must never cause.
func Run(ctx context.Context, options Options, out io.Writer) (err error) {
	servers, err := startServers()
	if err != nil {
		return err
	}
	defer servers.close()
	n, stop, err := startNode(servers)
	if err != nil {
		return err
	}
	defer func() { // the node's error is returned only if there is no earlier one
		if stopErr := stop(); err == nil {
			err = stopErr
		}
	}()
	fmt.Fprintf(out, "one node at %s, 2 services, %d emulated servers; %.0f requests a second to each service for %v\n", n.Addrs()[0], len(servers.all), options.Rate, options.Duration)
	fmt.Fprintf(out, "halfway through, one server of each service stops answering; later the last server of stock answers 500\n")
	load := startLoad(ctx, options, n.Addrs()[0])
	load.wait(options, servers.faults(options.Duration), out)
	if err := stop(); err != nil {
		return err
	}
	if ctx.Err() != nil {
		return errInterrupted
	}
	return printReport(out, load.tallies, servers.attempts())
}

// startNode starts a node in front of the servers. The first call of stop drains the node and returns its error;
// later calls return nil.
func startNode(s *servers) (n *node.Node, stop func() error, err error) {
	directory, err := os.MkdirTemp("", "jasperpin-demo")
	if err != nil {
		return nil, nil, fmt.Errorf("creating a directory for the demo's configuration: %w", err)
	}
	defer func() { _ = os.RemoveAll(directory) }() // the node has read the file; the system removes what remains
	file := filepath.Join(directory, "demo.toml")
	const ownerOnly = 0o600
	if err := os.WriteFile(file, []byte(s.nodeFile()), ownerOnly); err != nil {
		return nil, nil, fmt.Errorf("writing the demo's configuration: %w", err)
	}
	n, err = node.Start(node.File{Path: file}, slog.New(slog.DiscardHandler))
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { // the goroutine ends once ctx is done
		ended <- n.Run(ctx, nil)
		close(ended)
	}()
	return n, func() error {
		cancel()
		return <-ended // the result is nil from the second call on
	}, nil
}

// nodeFile returns the configuration file of the node.
func (s *servers) nodeFile() string {
	return fmt.Sprintf(`[node]
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
%s`, s.discovery.Addr, Classes, strings.Join(s.stockAddresses(), ", "), Classes)
}
