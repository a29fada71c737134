package main

import (
	"fmt"
	"path/filepath"
	"time"

	"jasperpin/internal/emulator/testbed"
)

// idleTime is how long an idle process settles, and also how long it is then measured.
const idleTime = 2 * time.Second

// idleCost is the memory of an idle process, and the processor time that it uses within idleTime.
type idleCost struct {
	kb  int
	cpu time.Duration
}

// corePercent returns the share of a core that the process uses, in percent.
func (c idleCost) corePercent() float64 { return 100 * c.cpu.Seconds() / idleTime.Seconds() }

// measureIdle measures an idle process. The process may have started immediately before the call.
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

// plainNodeFile is the format of the configuration file of a node without a consensus group or a fleet. Its
// argument is the node's name.
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
