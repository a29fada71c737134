package main

import (
	"errors"
	"path/filepath"

	"jasperpin/internal/consensus"
	"jasperpin/internal/emulator"
	"jasperpin/internal/mtls"
)

// errNoLeader is returned if no voter reports that it is the leader.
var errNoLeader = errors.New("no voter is the leader")

// voterSet contains the voters of a consensus group. Each is a process with its own address.
type voterSet struct {
	names []string
	addrs map[string]string // addresses of voters by name
}

// newVoterSet chooses an unused address for each voter.
func newVoterSet(names ...string) (voterSet, error) {
	s := voterSet{names: names, addrs: make(map[string]string)}
	for _, n := range names {
		var err error
		if s.addrs[n], err = emulator.UnusedAddr(); err != nil {
			return s, err
		}
	}
	return s, nil
}

// list returns the voters' addresses, in the order of names.
func (s voterSet) list() []string {
	var addrs []string
	for _, n := range s.names {
		addrs = append(addrs, s.addrs[n])
	}
	return addrs
}

// bootstrap writes the initial state of each voter to its directory and starts the voter, one after another.
func (s voterSet) bootstrap(dirOf func(name string) string, start func(name string) error) error {
	for _, n := range s.names {
		if err := consensus.Bootstrap(dirOf(n), n, s.addrs); err != nil {
			return err
		}
		if err := start(n); err != nil {
			return err
		}
	}
	return nil
}

// issueFiles issues a certificate for a name, and returns its files.
func issueFiles(auth *emulator.Authority, name string) (mtls.Files, error) {
	cert, key, err := auth.Issue(name)
	return mtls.Files{Certificate: cert, Key: key, Authorities: auth.File}, err
}

// voterDir returns a voter's directory among a scenario's files.
func voterDir(dir, name string) string { return filepath.Join(dir, "group-"+name) }
