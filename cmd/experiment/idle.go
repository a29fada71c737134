package main

import (
	"fmt"
	"path/filepath"
	"time"

	"jasperpin/internal/emulator/testbed"
)

// idleTime is for how long an idle process settles, and is then measured.
const idleTime = 2 * time.Second

// idleCost is what an idle process has in memory, and uses within idleTime.
type idleCost struct {
	kb  int
	cpu time.Duration
}

// corePercent is the share of a core that the process uses.
func (c idleCost) corePercent() float64 { return 100 * c.cpu.Seconds() / idleTime.Seconds() }

// measureIdle measures an idle process, which may have started just now.
func measureIdle(p *testbed.Process) (idleCost, error) {
	time.Sleep(idleTime)
	before, err := p.CPU()
	if err != nil {
		return idleCost{}, err
	}
	time.Sleep(idleTime)
	after, err := p.CPU()
	if err != nil {
		return idleCost{}, err
	}
	bytes, err := p.AnonymousMemory()
	return idleCost{bytes >> 10, after - before}, err
}

// plainNodeFile is a node's file without a consensus group or a fleet. It takes a name.
const plainNodeFile = `[node]
name = %q
listen = ["127.0.0.1:0"]
` + testbed.Service

// measurePlainNode measures an idle node without a consensus group or a fleet.
func measurePlainNode(dir string) (idleCost, error) {
	file := filepath.Join(dir, "plain.toml")
	if err := writeNodeFile(file, fmt.Sprintf(plainNodeFile, "plain")); err != nil {
		return idleCost{}, err
	}
	p, err := startChild(dir, nodeChild, file)
	if err != nil {
		return idleCost{}, err
	}
	defer func() { _ = p.Terminate() }()
	return measureIdle(p)
}
