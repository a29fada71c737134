package node

import (
	"jasperpin/internal/config"
	"jasperpin/internal/core"
	"jasperpin/internal/platform"
	"jasperpin/internal/route"
)

// Source provides a node's configuration, at startup and on reload. The node calls it from one
// goroutine at a time.
type Source interface {
	// Load reads the configuration.
	Load() (*config.Config, error)
	// Reload reads it again. It returns the configuration to apply, and the names of the changed
	// fields that take effect only after a restart: in next they have their current values.
	Reload(current *config.Config) (next *config.Config, needRestart []string, err error)
}

// File is a Source that reads the operator's file.
type File struct {
	Path string
	// Control replaces the file's admin address, unless it is empty: a new version that runs beside
	// the current one needs its own address.
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

// Reload reads the file again. keepUntilRestart determines which changes take effect.
func (f File) Reload(current *config.Config) (next *config.Config, needRestart []string, err error) {
	if next, err = f.Load(); err != nil {
		return nil, nil, err
	}
	if needRestart, err = keepUntilRestart(current, next); err != nil {
		return nil, nil, err
	}
	return next, needRestart, nil
}

// Platform is a Source that reads the JSON file named by GW_CONFIG in the platform's environment.
type Platform struct {
	// Getenv returns the value of an environment variable, as os.Getenv does.
	Getenv   func(string) string
	lastRead *platform.Config
}

// Load reads the platform's file. The result has one service with one pool, which may use all limits.
func (p *Platform) Load() (*config.Config, error) {
	read, err := platform.Load(p.Getenv)
	if err != nil {
		return nil, err
	}
	p.lastRead = read
	return fromPlatform(read), nil
}

// Reload reads the file again. Discovery and settings take effect; all other changes require a restart.
func (p *Platform) Reload(*config.Config) (next *config.Config, needRestart []string, err error) {
	current := p.lastRead
	read, err := current.Reload(p.Getenv)
	if err != nil {
		return nil, nil, err
	}
	needRestart = current.FieldsNeedingRestart(read)
	read.Name, read.Listen, read.ListenDescriptor = current.Name, current.Listen, current.ListenDescriptor
	read.AdminAddress, read.TempDir = current.AdminAddress, current.TempDir
	read.Seed, read.Limits, read.KnownEndpoints = current.Seed, current.Limits, current.KnownEndpoints
	p.lastRead = read
	return fromPlatform(read), needRestart, nil
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
