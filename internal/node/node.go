package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"time"
)

// Times of a drain, from SIGTERM. New connections come for up to 0.4 s more, and
// SIGKILL comes no sooner than the longest deadline, 3 s at most, and 0.7 s.
const (
	newcomers = 500 * time.Millisecond
	quiet     = 100 * time.Millisecond // without a newcomer, for the accept queue to be empty
	lastDue   = 3400 * time.Millisecond
	lastExit  = 3500 * time.Millisecond
)

// Run serves until ctx ends, then drains, and returns nil once all that was
// taken is answered. What comes on reload has it call load for a new
// configuration; one that cannot be read leaves the old one in force.
func Run(ctx context.Context, cfg *Config, reload <-chan os.Signal, load func() (*Config, error), log *slog.Logger) error {
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listening for clients: %w", err)
	}
	cs := newConns(ln, cfg.Conns())
	l := newLoop(cfg, log)
	f := &front{loop: l}
	srv := &http.Server{
		Handler: f, ReadHeaderTimeout: headWait, IdleTimeout: idleWait, MaxHeaderBytes: maxHead,
		ConnContext: withConn, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	bg, stop := context.WithCancel(context.Background())
	watched := make(chan struct{})
	w := newWatcher(cfg, l, log)
	go func() {
		defer close(watched)
		w.run(bg)
	}()
	defer func() {
		stop()
		<-watched
		l.pool.close()
	}()
	served := make(chan error, 1)
	go func() { served <- srv.Serve(cs) }()
	log.Info("serving", "name", cfg.Name, "listen", ln.Addr().String(), "servers", len(cfg.Known.hosts))
	for {
		select {
		case err := <-served:
			return fmt.Errorf("serving clients: %w", err)
		case <-reload:
			if next, err := load(); err != nil {
				log.Error("reload failed, the old configuration stays", "err", err)
			} else {
				cfg.reload(next, w, log)
			}
		case <-ctx.Done():
			return drain(srv, cs, f, log)
		}
	}
}

// reload puts in force what can change while the node runs: discovery.
func (c *Config) reload(next *Config, w *watcher, log *slog.Logger) {
	w.move(next.Discovery)
	log.Info("reloaded", "discovery", next.Discovery)
	if names := c.restartOnly(next); len(names) > 0 {
		log.Warn("changes that wait for a restart", "fields", names)
	}
}

// drain answers what has been taken and takes what still comes: newcomers may
// hold whole requests before the node has accepted them.
func drain(srv *http.Server, cs *conns, f *front, log *slog.Logger) error {
	began := time.Now()
	log.Info("draining")
	f.draining.Store(true)
	f.loop.drainBy(began.Add(lastDue))
	time.Sleep(newcomers)
	for n := int64(-1); n != cs.accepted.Load() && time.Since(began) < 2*newcomers; time.Sleep(quiet) {
		n = cs.accepted.Load()
	}
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(lastExit))
	defer cancel()
	err := srv.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = srv.Close()
	}
	log.Info("drained", "after", time.Since(began).Round(time.Millisecond).String())
	if err != nil {
		return fmt.Errorf("closing clients' connections: %w", err)
	}
	return nil
}
