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

// childEnv is the environment variable with the kind of child that this process runs as. It is unset or empty in
// the process that a user starts.
const childEnv = "JASPERPIN_PROOF_CHILD"

// The kinds of child processes. Each prints one line once it has started: its listen address, or a word.
const (
	nodeChild      = "node"  // a node, configured by a file or by the platform's environment
	proxyChild     = "proxy" // httputil.ReverseProxy in front of some servers
	voterChild     = "voter" // a voter of the consensus group
	relayChild     = "relay" // a relay of the configuration
	followersChild = "nodes" // only the configuration clients of many nodes
)

var errUnknownChild = errors.New("unknown kind of child")

// runChild runs a child of the given kind on one core until SIGTERM.
func runChild(kind string, args []string) error {
	runtime.GOMAXPROCS(1)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	switch kind {
	case nodeChild:
		return runNode(ctx, args)
	case proxyChild:
		return runPlainProxy(ctx, args)
	case voterChild:
		return runVoter(ctx, parseConfigChild(args))
	case relayChild:
		return runRelay(ctx, parseConfigChild(args))
	case followersChild:
		return runFollowers(ctx, parseConfigChild(args))
	}
	return fmt.Errorf("%w: %q", errUnknownChild, kind)
}

// runNode runs a node. Its configuration is the file that args names, or, if args is empty, the platform's
// environment.
func runNode(ctx context.Context, args []string) error {
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
	n.LimitProcess()
	fmt.Println(n.Addrs()[0])
	return n.Run(ctx, reload)
}

// runPlainProxy runs the proxy that nodes are compared with: the standard library's reverse proxy, which selects
// servers round robin, with the garbage collector settings of a node.
func runPlainProxy(ctx context.Context, servers []string) error {
	debug.SetGCPercent(300)
	var next atomic.Uint64
	proxy := &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			r.SetURL(&url.URL{Scheme: "http", Host: servers[int(next.Add(1))%len(servers)]})
			r.SetXForwarded()
		},
		Transport: &http.Transport{MaxIdleConnsPerHost: 200, DisableCompression: true},
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listening for the plain proxy: %w", err)
	}
	srv := &http.Server{Handler: proxy}
	go func() { // the goroutine ends with the process
		<-ctx.Done()
		_ = srv.Close()
	}()
	fmt.Println(ln.Addr())
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// childProgram returns this program as a child of the given kind.
func childProgram(kind string) (testbed.Program, error) {
	self, err := os.Executable()
	if err != nil {
		return testbed.Program{}, fmt.Errorf("finding the executable of this program: %w", err)
	}
	return testbed.Program{Path: self, Env: []string{childEnv + "=" + kind}, Announces: true}, nil
}

// startChild starts a child and waits until it has printed its line. Its log is written to a file in dir.
func startChild(dir, kind string, args ...string) (*testbed.Process, error) {
	p, err := childProgram(kind)
	if err != nil {
		return nil, err
	}
	return p.Start(dir, kind, args...)
}

// startNodeFromFile starts a node with a configuration file. It implements the StartNode option of testbed
// and capacity.
func startNodeFromFile(dir, _, file string) (*testbed.Process, error) {
	return startChild(dir, nodeChild, file)
}

// startNodeAndProxy starts a node with a configuration file, and the plain proxy in front of the same servers.
func startNodeAndProxy(dir, file string, servers ...string) (node, proxy *testbed.Process, err error) {
	if node, err = startChild(dir, nodeChild, file); err != nil {
		return nil, nil, err
	}
	if proxy, err = startChild(dir, proxyChild, servers...); err != nil {
		_ = node.Terminate()
		return nil, nil, err
	}
	return node, proxy, nil
}
