// Package demo shows the node at work with nothing set up: emulated servers, discovery, a node with
// two services and a bounded mixed load, all on loopback and in one process.
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

// Options say how the demo runs.
type Options struct {
	For  time.Duration // how long requests are sent
	Rate float64       // requests a second to each service
	Seed uint64
	Live bool // draw a line of progress
}

// Kinds are the demo's requests.
var (
	Look   = emulator.RequestKind{Class: "look", Path: "/look/", Method: "GET", Weight: 6, Work: 8 * time.Millisecond, LatencyObjective: 150 * time.Millisecond, Deadline: time.Second}
	Order  = emulator.RequestKind{Class: "order", Path: "/order/", Method: "POST", Weight: 3, Work: 16 * time.Millisecond, LatencyObjective: 300 * time.Millisecond, Deadline: 2 * time.Second, Keyed: true, BodyBytes: 300}
	Credit = emulator.RequestKind{Class: "credit", Path: "/credit/", Method: "POST", Weight: 1, Work: 16 * time.Millisecond, LatencyObjective: 300 * time.Millisecond, Deadline: 2 * time.Second, BodyBytes: 300}
)

// Classes are the kinds as classes of a pool in the operator's file.
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

// progressInterval is the time between two looks at the load.
const progressInterval = 100 * time.Millisecond

var errInterrupted = errors.New("the demo was ended before its time")

// Run runs the demo and prints what became of each service's requests by class. It returns an error
// where a request got no answer, or another's: a node causes none.
func Run(ctx context.Context, o Options, out io.Writer) (err error) {
	servers, err := startServers()
	if err != nil {
		return err
	}
	defer servers.close()
	n, stop, err := startNode(servers)
	if err != nil {
		return err
	}
	defer func() { // the node's own error counts only where nothing else went wrong
		if stopErr := stop(); err == nil {
			err = stopErr
		}
	}()
	fmt.Fprintf(out, "one node at %s, 2 services, %d stand-in servers; %.0f requests a second each for %v\n", n.Addrs()[0], len(servers.all), o.Rate, o.For)
	fmt.Fprintf(out, "half way one server of each service falls silent; later the last one of stock answers 500\n")
	load := startLoad(ctx, o, n.Addrs()[0])
	load.wait(o, servers.faults(o.For), out)
	if err := stop(); err != nil {
		return err
	}
	if ctx.Err() != nil {
		return errInterrupted
	}
	return printReport(out, load.tallies, servers.attempts())
}

// startNode starts a node before the servers. Stop drains it, at the first call, and returns its error.
func startNode(s *servers) (n *node.Node, stop func() error, err error) {
	directory, err := os.MkdirTemp("", "jasperpin-demo")
	if err != nil {
		return nil, nil, fmt.Errorf("making a directory for the demo's file: %w", err)
	}
	defer func() { _ = os.RemoveAll(directory) }() // the node has read its file; the system cleans up the rest
	file := filepath.Join(directory, "demo.toml")
	const ownerOnly = 0o600
	if err := os.WriteFile(file, []byte(s.nodeFile()), ownerOnly); err != nil {
		return nil, nil, fmt.Errorf("writing the demo's file: %w", err)
	}
	n, err = node.Start(node.File{Path: file}, slog.New(slog.DiscardHandler))
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { // ends with ctx
		ended <- n.Run(ctx, nil)
		close(ended)
	}()
	return n, func() error {
		cancel()
		return <-ended // nil from the second call on
	}, nil
}

// nodeFile is the node's configuration.
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
