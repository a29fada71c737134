package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"

	"jasperpin/internal/emulator/testbed"
	"jasperpin/internal/node"
)

// childEnv has this program play what is measured, in a process of its own.
const childEnv = "JASPERPIN_PROOF_CHILD"

// child plays a node by its file or by the platform's, or the plain reverse proxy before some servers,
// on one core, and prints the address it listens at.
func child(kind string, args []string) error {
	runtime.GOMAXPROCS(1)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	switch kind {
	case "node":
		reload := make(chan os.Signal, 1)
		signal.Notify(reload, syscall.SIGHUP)
		var source node.Source = &node.Platform{Getenv: os.Getenv}
		if len(args) > 0 {
			source = node.File{Path: args[0]}
		}
		n, err := node.Start(source, slog.New(slog.NewTextHandler(os.Stderr, nil)))
		if err != nil {
			return err
		}
		n.Limit()
		fmt.Println(n.Addrs()[0])
		return n.Run(ctx, reload)
	case "proxy":
		return plainProxy(ctx, args)
	case "voter", "relay", "nodes":
		return configChild(ctx, kind, args)
	}
	return fmt.Errorf("no child %q", kind)
}

// plainProxy is the plain alternative: the standard library's proxy, server after
// server, with the collector set as the node sets it.
func plainProxy(ctx context.Context, servers []string) error {
	debug.SetGCPercent(300)
	var next atomic.Uint64
	p := &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			r.SetURL(&url.URL{Scheme: "http", Host: servers[int(next.Add(1))%len(servers)]})
			r.SetXForwarded()
		},
		Transport: &http.Transport{MaxIdleConnsPerHost: 200, DisableCompression: true},
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("the plain proxy's port: %w", err)
	}
	srv := &http.Server{Handler: p}
	go func() {
		<-ctx.Done()
		_ = srv.Close()
	}()
	fmt.Println(ln.Addr())
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// start starts a child and waits for its address, which is its Line. Its log goes to a file in dir.
func start(dir, kind string, args ...string) (*testbed.Process, error) {
	self, err := program(kind)
	if err != nil {
		return nil, err
	}
	return self.Start(dir, kind, args...)
}

// program is this program as a child of a kind.
func program(kind string) (testbed.Program, error) {
	self, err := os.Executable()
	if err != nil {
		return testbed.Program{}, fmt.Errorf("finding this program: %w", err)
	}
	return testbed.Program{Path: self, Env: []string{childEnv + "=" + kind}, Says: true}, nil
}

// beside starts a node by its file and the plain proxy before the same servers.
func beside(dir, file string, servers ...string) (n, p *testbed.Process, err error) {
	if n, err = start(dir, "node", file); err != nil {
		return nil, nil, err
	}
	if p, err = start(dir, "proxy", servers...); err != nil {
		_ = n.End()
		return nil, nil, err
	}
	return n, p, nil
}
