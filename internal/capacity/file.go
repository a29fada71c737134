package capacity

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"jasperpin/internal/emulator/bigfile"
)

var (
	// ErrNothingToChange is returned for a file that has none of the texts that the trial changes.
	ErrNothingToChange = errors.New("file has none of the texts to change")
	// ErrReloadFailed is returned if a node rejects a file.
	ErrReloadFailed = errors.New("node rejected the file")
)

// statedFile returns the size of the file at the stated size.
func (d Deployment) statedFile() bigfile.Size {
	return bigfile.Size{Services: d.Services, Servers: d.Servers, Routes: d.Routes, Tenants: d.Tenants}
}

// fileCosts are the costs of one file for a node.
type fileCosts struct {
	textMB       float64
	startSeconds float64 // processor time until the node serves
	startPeakMB  float64 // peak of resident memory until the node serves
	idle         usage   // usage some time after the start
	reload       reloadCost
	changeReload reloadCost // cost of a reload that changes a service and its pool
	metricsMS    float64    // processor time of one reading of all metrics
	metricsBytes float64
}

// reloadCost is the cost of a reload: its processor time, and the peak of resident memory since the start of the
// node.
type reloadCost struct{ seconds, peakMB float64 }

// Texts in package bigfile's files. The trial changes the first occurrence of a text.
const (
	firstService = "\n[[service]]"
	listenKey    = "listen = "
	serviceLimit = "concurrent = 100"
	firstServer  = "name = \"server-0\"\n"
)

// fileText returns the text of a file of some size. Its limits are high enough for each size: the trial measures
// how much the node needs.
func fileText(size bigfile.Size, adminAddr string) (string, error) {
	var text strings.Builder
	if err := size.Write(&text, "127.0.0.1:0"); err != nil {
		return "", err
	}
	withLimits := strings.Replace(text.String(), firstService, "\n[limits]\nmemory = \"4GB\"\ndescriptors = 16384\n"+firstService, 1)
	return strings.Replace(withLimits, listenKey, fmt.Sprintf("control = %q\n%s", adminAddr, listenKey), 1), nil
}

// changedText returns a file's text with a different limit of one service and a different capacity of one server.
func changedText(text string) (string, error) {
	changed := strings.Replace(text, serviceLimit, "concurrent = 99", 1)
	changed = strings.Replace(changed, firstServer, firstServer+"share = 2.0\n", 1)
	if changed == text {
		return "", ErrNothingToChange
	}
	return changed, nil
}

// measureFile starts a node with a file, leaves it idle, and reloads the file, unchanged and changed.
func (o Options) measureFile(ctx context.Context, name string, size bigfile.Size, idleTime time.Duration) (c fileCosts, err error) {
	adminAddr := "unix:" + filepath.Join(o.Dir, "read.door")
	text, err := fileText(size, adminAddr)
	if err != nil {
		return c, err
	}
	c.textMB = float64(len(text)) / 1e6
	process, err := o.startNodeProcess(name, adminAddr, text)
	if err != nil {
		return c, err
	}
	defer process.Kill()
	if c.startSeconds, c.startPeakMB, err = startCost(process); err != nil {
		return c, err
	}
	if _, err = measureUsage(ctx, process.Process, idleTime/4); err != nil { // wait until the garbage of the start is collected
		return c, err
	}
	if c.idle, err = measureUsage(ctx, process.Process, idleTime); err != nil {
		return c, err
	}
	if c.reload, err = measureReload(process); err != nil {
		return c, err
	}
	changed, err := changedText(text)
	if err != nil {
		return c, err
	}
	if err := os.WriteFile(filepath.Join(o.Dir, name+".toml"), []byte(changed), 0o600); err != nil {
		return c, fmt.Errorf("writing a node's file: %w", err)
	}
	if c.changeReload, err = measureReload(process); err != nil {
		return c, err
	}
	if log := process.Logged(); strings.Contains(log, "reload failed") {
		return c, fmt.Errorf("%w: %s", ErrReloadFailed, log)
	}
	const metricsCalls = 20
	c.metricsMS, c.metricsBytes, err = process.metricsCost(ctx, metricsCalls)
	return c, err
}

// startCost returns the processor time and the peak memory of a node since its start.
func startCost(p *nodeProcess) (seconds, peakMB float64, err error) {
	used, err := p.CPU()
	if err != nil {
		return 0, 0, err
	}
	peak, err := p.PeakMemory()
	return atLeastOneTick(used).Seconds(), float64(peak) / 1e6, err
}

// measureReload reloads a node's file and measures the cost.
func measureReload(p *nodeProcess) (reloadCost, error) {
	before, err := p.CPU()
	if err != nil {
		return reloadCost{}, err
	}
	if err := p.Reload(); err != nil {
		return reloadCost{}, err
	}
	after, cpuErr := p.CPU()
	peak, peakErr := p.PeakMemory()
	return reloadCost{atLeastOneTick(after - before).Seconds(), float64(peak) / 1e6}, errors.Join(cpuErr, peakErr)
}

// fileSlope is a slope of the file trial, with the cost that it measures.
type fileSlope struct {
	*Slope
	of func(fileCosts) float64
}

// wholeFileSlopes are the slopes of files whose entries all grow together.
type wholeFileSlopes struct {
	text, changeReload *Slope
	all                []fileSlope // all slopes, including those of the other two fields
}

func (o Options) newWholeFileSlopes(runs int) wholeFileSlopes {
	base := Slope{Role: "node: its file", SizeUnit: "services, with all else in proportion", Stated: float64(o.Services), Runs: runs}
	text, changeReload := base.forFigure("the text", "MB", 0), base.forFigure("a reload that changes a service and a pool", "s", 0)
	return wholeFileSlopes{text, changeReload, []fileSlope{
		{text, func(c fileCosts) float64 { return c.textMB }},
		{base.forFigure("reading, checking, in force: processor time of the start", "s", 0), func(c fileCosts) float64 { return c.startSeconds }},
		{base.forFigure("peak of the start", "MB", o.MemoryMB), func(c fileCosts) float64 { return c.startPeakMB }},
		{base.forFigure("memory at rest", "MB", o.MemoryMB), func(c fileCosts) float64 { return c.idle.memoryMB }},
		{base.forFigure("a reload that changes nothing", "s", 0), func(c fileCosts) float64 { return c.reload.seconds }},
		{base.forFigure("peak of the reload", "MB", o.MemoryMB), func(c fileCosts) float64 { return c.reload.peakMB }},
		{changeReload, func(c fileCosts) float64 { return c.changeReload.seconds }},
		{base.forFigure("idle with the file in force", "% of a core", o.corePercent()), func(c fileCosts) float64 { return c.idle.corePercent }},
		{base.forFigure("figures at the door: processor time", "ms", 0), func(c fileCosts) float64 { return c.metricsMS }},
		{base.forFigure("figures at the door: answer", "bytes", 0), func(c fileCosts) float64 { return c.metricsBytes }},
	}}
}

// fileTrial measures the cost of a node's file: the complete file by its size, and each kind of entries alone,
// with all others at the smallest size.
func fileTrial(ctx context.Context, options Options) (found Findings, err error) {
	idleTime, divisors, runs := 4*time.Second, []int{24, 8, 4, 2, 1}, costRuns
	if options.Small {
		idleTime, divisors, runs = 200*time.Millisecond, []int{400, 200, 100, 50}, 1
	}
	slopes := options.newWholeFileSlopes(runs)
	if err := options.measureWholeFile(ctx, &found, slopes, divisors, idleTime); err != nil {
		return found, err
	}
	if err := options.measureEntries(ctx, &found, divisors); err != nil {
		return found, err
	}
	verdicts := make(map[*Slope]Verdict)
	for _, s := range slopes.all {
		if verdicts[s.Slope], err = s.Evaluate(); err != nil {
			return found, err
		}
	}
	textMB, changeSeconds := verdicts[slopes.text].Value, verdicts[slopes.changeReload].Value
	day := (24 * time.Hour).Seconds()
	found.notef("%s changes a day, each a reload of the whole file: %s%% of a core of the %s%% allowed, and %s bytes/s of the %s allowed if the complete file is sent",
		digits(options.ConfigChanges), digits(100*options.ConfigChanges*changeSeconds/day), digits(options.corePercent()), digits(1e6*options.ConfigChanges*textMB/day), digits(options.ByteRate))
	return found, nil
}

// measureWholeFile measures files whose numbers of entries are all divided by the same divisors.
func (o Options) measureWholeFile(ctx context.Context, found *Findings, slopes wholeFileSlopes, divisors []int, idleTime time.Duration) error {
	for _, divisor := range divisors {
		size := o.statedFile().DividedBy(divisor)
		var costs []fileCosts
		for run := range slopes.text.Runs {
			c, err := o.measureFile(ctx, fmt.Sprintf("file-%d-%d", divisor, run), size, idleTime)
			if err != nil {
				return fmt.Errorf("%d services: %w", size.Services, err)
			}
			costs = append(costs, c)
		}
		for _, s := range slopes.all {
			s.add(size.Services, medianOf(costs, s.of))
		}
		fmt.Fprintf(o.Log, "a file of %d services: %+v\n", size.Services, costs)
	}
	for _, s := range slopes.all {
		found.Slopes = append(found.Slopes, *s.Slope)
	}
	return nil
}

// medianOf returns the median of one cost over all runs.
func medianOf(costs []fileCosts, of func(fileCosts) float64) float64 {
	var all []float64
	for _, c := range costs {
		all = append(all, of(c))
	}
	return median(all)
}

// measureEntries measures the start of a node with files in which only one kind of entries grows.
func (o Options) measureEntries(ctx context.Context, found *Findings, divisors []int) error {
	const idleTime = 100 * time.Millisecond
	stated := o.statedFile()
	smallest := stated.DividedBy(divisors[0])
	for _, kind := range []struct {
		name   string
		stated int
		field  func(s *bigfile.Size) *int
	}{
		{"routes", stated.Routes, func(s *bigfile.Size) *int { return &s.Routes }},
		{"tenants", stated.Tenants, func(s *bigfile.Size) *int { return &s.Tenants }},
		{"servers", stated.Servers, func(s *bigfile.Size) *int { return &s.Servers }},
	} {
		s := Slope{
			Role: "node: its file", Name: "a start by " + kind.name + " alone", Unit: "s",
			SizeUnit: fmt.Sprintf("%s, with %d services", kind.name, smallest.Services), Stated: float64(kind.stated), Runs: 1,
		}
		for _, divisor := range divisors {
			size, entries := smallest, kind.stated/divisor
			*kind.field(&size) = entries
			c, err := o.measureFile(ctx, fmt.Sprintf("%s-%d", kind.name, divisor), size, idleTime)
			if err != nil {
				return fmt.Errorf("%d %s: %w", entries, kind.name, err)
			}
			s.add(entries, c.startSeconds)
		}
		found.Slopes = append(found.Slopes, s)
	}
	return nil
}
