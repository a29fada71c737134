// Command jasperpin is one node of the load balancer. It reads its
// configuration where GW_CONFIG points, serves until SIGTERM or SIGINT, answers
// what it has taken, and ends. SIGHUP has it read the configuration anew.
package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"jasperpin/internal/node"
)

// gcPercent trades memory for processor time: what a node holds is small beside
// its limit, and with part of a core each collection shows in the latencies. The
// memory limit takes over where a node comes near it.
const gcPercent = 300

func main() {
	flag.Usage = func() {
		fmt.Fprint(flag.CommandLine.Output(), "usage: jasperpin\n\nOne node; GW_CONFIG names its configuration file. See README.md.\n")
	}
	flag.Parse()
	if flag.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "jasperpin: unexpected argument %q\n", flag.Arg(0))
		os.Exit(2)
	}
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "jasperpin:", err)
		os.Exit(1)
	}
}

func run() error {
	// Caught from the first moment, as it would end the process. One that is
	// pending covers any that follow: they all ask for the newest configuration.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	cfg, err := node.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(int(math.Ceil(cfg.Cores)))
	debug.SetMemoryLimit(cfg.MemoryLimit())
	debug.SetGCPercent(gcPercent)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	load := func() (*node.Config, error) { return node.ReloadConfig(os.Getenv) }
	return node.Run(ctx, cfg, reload, load, slog.New(slog.NewTextHandler(os.Stderr, nil)))
}
