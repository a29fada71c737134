package node

import (
	"jasperpin/internal/config"
	"jasperpin/internal/core"
	"jasperpin/internal/platform"
	"jasperpin/internal/route"
)

// Source gives a node its configuration, at its start and on reload. The node calls it from one
// goroutine at a time.
type Source interface {
	// Load reads the configuration.
	Load() (*config.Config, error)
	// Reload reads it anew. It returns the configuration to put in force, and the names of the
	// fields that have changed in the source and take effect only at a restart: in next they are as
	// they were.
	Reload(was *config.Config) (next *config.Config, waiting []string, err error)
}

// File is a Source: the file that the operator owns.
type File struct {
	Path string
	// Control replaces the file's address of the admin server, unless it is "": a new version beside
	// the running one needs an address of its own.
	Control string
}

// Load reads the file.
func (f File) Load() (*config.Config, error) {
	cfg, err := config.Load(f.Path)
	if err == nil && f.Control != "" {
		cfg.AdminAddress = f.Control
	}
	return cfg, err
}

// Reload reads the file anew. keepUntilRestart says what of it takes effect.
func (f File) Reload(was *config.Config) (next *config.Config, waiting []string, err error) {
	if next, err = f.Load(); err != nil {
		return nil, nil, err
	}
	if waiting, err = keepUntilRestart(was, next); err != nil {
		return nil, nil, err
	}
	return next, waiting, nil
}

// Platform is a Source: the JSON file that GW_CONFIG names in the environment of the platform.
type Platform struct {
	// Getenv reads a variable of the environment, as os.Getenv does.
	Getenv   func(string) string
	lastRead *platform.Config
}

// Load reads the platform's file: one service with one pool, which has all limits to itself.
func (p *Platform) Load() (*config.Config, error) {
	read, err := platform.Load(p.Getenv)
	if err != nil {
		return nil, err
	}
	p.lastRead = read
	return fromPlatform(read), nil
}

// Reload reads the file anew. Discovery and settings take effect, and all else waits for a restart.
func (p *Platform) Reload(*config.Config) (next *config.Config, waiting []string, err error) {
	was := p.lastRead
	read, err := was.Reload(p.Getenv)
	if err != nil {
		return nil, nil, err
	}
	waiting = was.RestartOnly(read)
	read.Name, read.Listen, read.ListenDescriptor = was.Name, was.Listen, was.ListenDescriptor
	read.AdminAddress, read.TempDir = was.AdminAddress, was.TempDir
	read.Seed, read.Limits, read.KnownEndpoints = was.Seed, was.Limits, was.KnownEndpoints
	p.lastRead = read
	return fromPlatform(read), waiting, nil
}

// fromPlatform returns the configuration of a node with one service and one pool.
func fromPlatform(c *platform.Config) *config.Config {
	return &config.Config{
		Name: c.Name, Listen: []string{c.Listen}, InheritedDescriptor: c.ListenDescriptor, AdminAddress: c.AdminAddress, PrivateDirectory: c.TempDir, Seed: c.Seed, Limits: c.Limits,
		Services: []config.Service{{Routes: []route.Rule{{Targets: []route.Target{{Weight: 1}}, Origin: "the platform"}}}},
		Pools: []config.Pool{{
			Share: 1, Discovery: c.Discovery, KnownEndpoints: c.KnownEndpoints, Zones: c.Zones, Classes: c.Classes,
			Settings: c.Settings, DialTimeout: c.DialTimeout, MaxBodyBytes: core.DefaultMaxBody,
		}},
	}
}
