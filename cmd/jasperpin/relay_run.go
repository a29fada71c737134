package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/net/netutil"

	"jasperpin/internal/config"
	"jasperpin/internal/configlog"
	"jasperpin/internal/configsync"
	"jasperpin/internal/consensus"
)

const (
	// statusPath is the path of a relay's report, over HTTPS.
	statusPath = "/v1/status"
	// statusTimeout is the timeout of each step of a status request: a relay builds its report in milliseconds.
	statusTimeout = 2 * time.Second
	// maxStatusConns is the maximum number of connections from operators.
	maxStatusConns = 16
	// maxStatusHeaderBytes is the maximum size of a request's head.
	maxStatusHeaderBytes = 4 << 10
)

// runRelay distributes the configuration to nodes until ctx is done. The relay is an instance of the
// consensus group, and also one of its voters if the file configures one.
func runRelay(ctx context.Context, distribution *config.Distribution, log *slog.Logger) error {
	instance, err := openInstance(distribution, log)
	if err != nil {
		return err
	}
	defer instance.Close()
	ln, err := net.Listen("tcp", distribution.OwnRelay.Listen)
	if err != nil {
		return fmt.Errorf("listening for nodes: %w", err)
	}
	defer ln.Close()
	relay, err := configsync.NewRelay(configsync.RelayOptions{
		Voters: loggingVoters{instance.Client, log}, Files: distribution.Files, MaxStreams: distribution.OwnRelay.Streams,
		Dir: distribution.OwnRelay.Directory, Log: log,
	})
	if err != nil {
		return err
	}
	defer relay.Close()
	ended := make(chan error, 2) // has room for the errors of both servers
	if distribution.OwnRelay.Status != "" {
		server, err := serveStatus(distribution, relay, ended)
		if err != nil {
			return err
		}
		defer func() { _ = server.Close() }() // the process exits, so the error does not matter
	}
	go func() { ended <- relay.Serve(ln) }() // returns when its listener is closed
	log.Info("relay serving", "relay", distribution.Name, "listen", ln.Addr().String(), "status", distribution.OwnRelay.Status,
		"is_voter", distribution.Cluster.Directory != "", "version", relay.Status().Version)
	select {
	case err = <-ended:
	case <-ctx.Done():
		log.Info("relay stopping", "relay", distribution.Name, "count", len(relay.Status().Nodes))
	}
	return err
}

// openInstance opens the relay's instance of the consensus group.
func openInstance(d *config.Distribution, log *slog.Logger) (*consensus.Instance, error) {
	c := d.Cluster
	instance, err := consensus.OpenInstance(consensus.InstanceOptions{
		Name: d.Name, Voters: c.Voters, Listen: c.Listen, Dir: c.Directory, Files: c.Files, LeaseTTL: c.Lease, Log: log,
	})
	if err != nil {
		return nil, fmt.Errorf("joining the consensus group: %w", err)
	}
	return instance, nil
}

// loggingVoters is a client of the voters that logs the changes that they commit.
type loggingVoters struct {
	*consensus.Client
	log *slog.Logger
}

// Config waits for the changes after a version, and logs them.
func (v loggingVoters) Config(ctx context.Context, since uint64, wait time.Duration) (consensus.ConfigUpdate, error) {
	update, err := v.Client.Config(ctx, since, wait)
	switch changes := update.Changes; {
	case len(changes) == 1 && len(changes[0].Records) > 0:
		v.logChange(changes[0])
	case len(changes) > 0: // the relay was disconnected, or changes are frequent
		v.log.Info("configuration changes committed", "from_version", changes[0].Version, "to_version", changes[len(changes)-1].Version)
	case update.Compacted:
		v.log.Info("configuration changes no longer retained, a snapshot is needed", "version", update.Version)
	}
	return update, err
}

func (v loggingVoters) logChange(c configlog.Change) {
	v.log.Info("configuration change committed", "version", c.Version, "author", c.Author, "note", c.Note,
		"records", len(c.Records), "first", c.Records[0].Key, "reverts", c.Reverts)
}

// serveStatus serves a relay's report to operators until the server is closed. If the server fails, its
// error is sent to ended.
func serveStatus(d *config.Distribution, relay *configsync.Relay, ended chan<- error) (*http.Server, error) {
	tls, err := d.Files.Load(configsync.RelayName)
	if err != nil {
		return nil, fmt.Errorf("serving the relay's status: %w", err)
	}
	ln, err := net.Listen("tcp", d.OwnRelay.Status)
	if err != nil {
		return nil, fmt.Errorf("listening for operators: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+statusPath, func(w http.ResponseWriter, req *http.Request) { writeReport(w, req, relay) })
	server := &http.Server{
		Handler: mux, TLSConfig: tls, MaxHeaderBytes: maxStatusHeaderBytes, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug),
		ReadTimeout: statusTimeout, WriteTimeout: statusTimeout, IdleTimeout: statusTimeout,
	}
	go func() { // returns when the server is closed
		if err := server.ServeTLS(netutil.LimitListener(ln, maxStatusConns), "", ""); !errors.Is(err, http.ErrServerClosed) {
			ended <- fmt.Errorf("serving the relay's status: %w", err)
		}
	}()
	return server, nil
}

// writeReport answers a request for the report, with at most the requested number of the worst nodes.
func writeReport(w http.ResponseWriter, req *http.Request, relay *configsync.Relay) {
	worst, err := strconv.Atoi(req.FormValue("worst"))
	if err != nil {
		http.Error(w, "worst: want a number", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(newRelayReport(relay.Status(), time.Now(), worst)) // the operator may have disconnected
}
