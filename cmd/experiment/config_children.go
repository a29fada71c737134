package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"jasperpin/internal/configlog"
	"jasperpin/internal/configsync"
	"jasperpin/internal/consensus"
	"jasperpin/internal/mtls"
)

// relayStreams is the maximum number of nodes that a relay serves.
const relayStreams = 4096

// configChildArgs are the arguments of a child of the config scenario: its certificate files, and the arguments
// of its kind.
type configChildArgs struct {
	files mtls.Files
	rest  []string
}

func (a configChildArgs) list() []string {
	return append([]string{a.files.Certificate, a.files.Key, a.files.Authorities}, a.rest...)
}

// parseConfigChild is the inverse of list.
func parseConfigChild(args []string) configChildArgs {
	return configChildArgs{mtls.Files{Certificate: args[0], Key: args[1], Authorities: args[2]}, args[3:]}
}

func childLog() *slog.Logger { return slog.New(slog.NewTextHandler(os.Stderr, nil)) }

// runVoter runs a voter. Its arguments are a listen address and a directory.
func runVoter(ctx context.Context, args configChildArgs) error {
	v, err := consensus.Start(consensus.Options{Listen: args.rest[0], Dir: args.rest[1], Files: args.files, Log: childLog()})
	if err != nil {
		return err
	}
	defer v.Close()
	fmt.Println(v.Addr())
	<-ctx.Done()
	return nil
}

// runRelay runs a relay. Its arguments are the voters' addresses, separated by commas, and a listen address.
func runRelay(ctx context.Context, args configChildArgs) error {
	client, err := consensus.NewClient(strings.Split(args.rest[0], ","), args.files)
	if err != nil {
		return err
	}
	defer client.Close()
	r, err := configsync.NewRelay(configsync.RelayOptions{Voters: client, Files: args.files, MaxStreams: relayStreams, Log: childLog()})
	if err != nil {
		return err
	}
	defer r.Close()
	ln, err := net.Listen("tcp", args.rest[1])
	if err != nil {
		return fmt.Errorf("listening for a relay: %w", err)
	}
	defer context.AfterFunc(ctx, r.Close)()
	fmt.Println(ln.Addr())
	return r.Serve(ln)
}

// runFollowers runs the configuration clients of some nodes. Its arguments are the relays, in JSON, and the number
// of nodes. It prints a line once all nodes are in sync.
func runFollowers(ctx context.Context, args configChildArgs) error {
	var relays []configsync.RelayAddress
	if err := json.Unmarshal([]byte(args.rest[0]), &relays); err != nil {
		return fmt.Errorf("decoding the relays: %w", err)
	}
	n, err := strconv.Atoi(args.rest[1])
	if err != nil {
		return fmt.Errorf("parsing the number of nodes: %w", err)
	}
	for i := range n {
		zone, region := zoneAndRegion(i % len(zoneRegions))
		s, err := configsync.NewSource(configsync.SourceOptions{
			Name: fmt.Sprintf("mortal%02d", i), Zone: zone, Region: region, Relays: relays, Files: args.files, Seed: uint64(i),
			Log: slog.New(slog.DiscardHandler), Install: ignoreSnapshot, Apply: ignoreChange,
		})
		if err != nil {
			return err
		}
		defer s.Close()
		for !s.Status().InSync {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			time.Sleep(syncPoll)
		}
	}
	fmt.Println("level")
	<-ctx.Done()
	return nil
}

// ignoreSnapshot and ignoreChange apply nothing.
func ignoreSnapshot(configlog.Snapshot) error { return nil }
func ignoreChange(configlog.Change) error     { return nil }
