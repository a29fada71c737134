package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"jasperpin/internal/node"
)

// childEnv has this program play what is measured, in a process of its own.
const childEnv = "JASPERPIN_PROOF_CHILD"

// child plays a node by its file, or the plain reverse proxy before some servers,
// on one core, and prints the address it listens at.
func child(kind string, args []string) error {
	runtime.GOMAXPROCS(1)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	switch kind {
	case "node":
		reload := make(chan os.Signal, 1)
		signal.Notify(reload, syscall.SIGHUP)
		n, err := node.Start(node.File{Path: args[0]}, slog.New(slog.NewTextHandler(os.Stderr, nil)))
		if err != nil {
			return err
		}
		n.Limit()
		fmt.Println(n.Addrs()[0])
		return n.Run(ctx, reload)
	case "proxy":
		return plainProxy(ctx, args)
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

// process is a child that runs.
type process struct {
	addr string
	cmd  *exec.Cmd
	log  *os.File
}

// start starts a child and waits for its address. Its log goes to a file in dir.
func start(dir, kind string, args ...string) (*process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("finding this program: %w", err)
	}
	p := &process{cmd: exec.Command(self, args...)}
	p.cmd.Env = append(os.Environ(), childEnv+"="+kind)
	if p.log, err = os.CreateTemp(dir, kind+"-*.log"); err != nil {
		return nil, fmt.Errorf("a log for the child: %w", err)
	}
	p.cmd.Stderr = p.log
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("the child's output: %w", err)
	}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("starting the child: %w", err)
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		p.end()
		return nil, fmt.Errorf("the child did not come up: %w: %s", err, p.logged())
	}
	p.addr = strings.TrimSpace(line)
	return p, nil
}

// beside starts a node by its file and the plain proxy before the same servers.
func beside(dir, file string, servers ...string) (n, p *process, err error) {
	if n, err = start(dir, "node", file); err != nil {
		return nil, nil, err
	}
	if p, err = start(dir, "proxy", servers...); err != nil {
		n.end()
		return nil, nil, err
	}
	return n, p, nil
}

// end ends the child and waits for it.
func (p *process) end() {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	t := time.AfterFunc(10*time.Second, func() { _ = p.cmd.Process.Kill() })
	defer t.Stop()
	_ = p.cmd.Wait()
	p.log.Close()
}

// kill ends the child without a word to it.
func (p *process) kill() { _ = p.cmd.Process.Kill() }

// reload has a node read its file anew and waits until the log tells of it.
func (p *process) reload() error {
	was := strings.Count(p.logged(), "reload")
	if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		return fmt.Errorf("signalling the node: %w", err)
	}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if strings.Count(p.logged(), "reload") > was {
			return nil
		}
	}
	return errors.New("the node did not reload within 10 s")
}

func (p *process) logged() string {
	text, err := os.ReadFile(p.log.Name())
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// cpu is the processor time that the child has used so far, to 10 ms.
func (p *process) cpu() (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0, fmt.Errorf("the child's processor time: %w", err)
	}
	_, rest, ok := strings.Cut(string(text), ") ")
	f := strings.Fields(rest)
	if !ok || len(f) < 13 {
		return 0, errors.New("the child's processor time: /proc has another form than expected")
	}
	user, err1 := strconv.Atoi(f[11])
	system, err2 := strconv.Atoi(f[12])
	return time.Duration(user+system) * 10 * time.Millisecond, errors.Join(err1, err2)
}
