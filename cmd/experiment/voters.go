package main

import (
	"errors"
	"path/filepath"

	"jasperpin/internal/consensus"
	"jasperpin/internal/emulator"
	"jasperpin/internal/mtls"
)

// errNoLeader says that no voter answers that it leads.
var errNoLeader = errors.New("no voter leads the others")

// voterSet is the voters of a consensus group, each a process with an address of its own.
type voterSet struct {
	names []string
	addrs map[string]string // by name
}

// newVoterSet picks an address for each voter.
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

// list is the voters' addresses, in order of their names' list.
func (s voterSet) list() []string {
	var addrs []string
	for _, n := range s.names {
		addrs = append(addrs, s.addrs[n])
	}
	return addrs
}

// bootstrap writes the first state of each voter to its folder and starts it, one after another.
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

// issueFiles issues a certificate for a name.
func issueFiles(auth *emulator.Authority, name string) (mtls.Files, error) {
	cert, key, err := auth.Issue(name)
	return mtls.Files{Certificate: cert, Key: key, Authorities: auth.File}, err
}

// voterDir is a voter's folder among a scenario's files.
func voterDir(dir, name string) string { return filepath.Join(dir, "group-"+name) }
