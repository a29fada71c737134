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
	// statusPath is where a relay reports its state, over HTTPS.
	statusPath = "/v1/status"
	// statusTimeout bounds each step of a report: a relay sums up its nodes in milliseconds.
	statusTimeout = 2 * time.Second
	// maxStatusConns bounds the connections of operators.
	maxStatusConns = 16
	// maxStatusHeaderBytes bounds the head of a request.
	maxStatusHeaderBytes = 4 << 10
)

// runRelay carries the configuration to nodes until ctx ends. The relay is an instance of the consensus
// group, and one of its voters where the file says so.
func runRelay(ctx context.Context, d *config.Distribution, log *slog.Logger) error {
	instance, err := openInstance(d, log)
	if err != nil {
		return err
	}
	defer instance.Close()
	ln, err := net.Listen("tcp", d.OwnRelay.Listen)
	if err != nil {
		return fmt.Errorf("listening for nodes: %w", err)
	}
	defer ln.Close()
	relay, err := configsync.NewRelay(configsync.RelayOptions{
		Voters: loggedVoters{instance.Client, log}, Files: d.Files, MaxStreams: d.OwnRelay.Streams, Dir: d.OwnRelay.Directory, Log: log,
	})
	if err != nil {
		return err
	}
	defer relay.Close()
	ended := make(chan error, 2) // has room for the errors of both servers
	if d.OwnRelay.Status != "" {
		server, err := serveStatus(d, relay, ended)
		if err != nil {
			return err
		}
		defer func() { _ = server.Close() }() // the process ends
	}
	go func() { ended <- relay.Serve(ln) }() // ends with its listener
	log.Info("relay serving", "relay", d.Name, "listen", ln.Addr().String(), "status", d.OwnRelay.Status, "is_voter", d.Cluster.Directory != "", "version", relay.Status().Version)
	select {
	case err = <-ended:
	case <-ctx.Done():
		log.Info("relay stopping", "relay", d.Name, "count", len(relay.Status().Nodes))
	}
	return err
}

// openInstance makes the relay an instance of the consensus group.
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

// loggedVoters are the voters that a relay follows. What they agree on is logged.
type loggedVoters struct {
	*consensus.Client
	log *slog.Logger
}

// Config waits for what follows a version, and logs it.
func (v loggedVoters) Config(ctx context.Context, since uint64, wait time.Duration) (consensus.ConfigUpdate, error) {
	news, err := v.Client.Config(ctx, since, wait)
	switch changes := news.Changes; {
	case len(changes) == 1 && len(changes[0].Records) > 0:
		v.logChange(changes[0])
	case len(changes) > 0: // the relay was away, or they come fast
		v.log.Info("changes of the configuration", "from_version", changes[0].Version, "to_version", changes[len(changes)-1].Version)
	case news.Compacted:
		v.log.Info("whole configuration received", "version", news.Version)
	}
	return news, err
}

func (v loggedVoters) logChange(c configlog.Change) {
	v.log.Info("a change of the configuration", "version", c.Version, "author", c.Author, "note", c.Note,
		"records", len(c.Records), "first", c.Records[0].Key, "reverts", c.Reverts)
}

// serveStatus serves a relay's report to operators until the server is closed. The server's error goes
// to ended.
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
	go func() { // ends when the server is closed
		if err := server.ServeTLS(netutil.LimitListener(ln, maxStatusConns), "", ""); !errors.Is(err, http.ErrServerClosed) {
			ended <- fmt.Errorf("serving the relay's status: %w", err)
		}
	}()
	return server, nil
}

// writeReport answers a request for the report, with as many of the worst nodes as it asks for.
func writeReport(w http.ResponseWriter, req *http.Request, relay *configsync.Relay) {
	worst, err := strconv.Atoi(req.FormValue("worst"))
	if err != nil {
		http.Error(w, "worst: want a number", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(newRelayReport(relay.Status(), time.Now(), worst)) // the operator has gone
}
