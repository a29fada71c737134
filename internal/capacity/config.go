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

// wholeFile is the file of the stated size.
func (d Deployment) wholeFile() bigfile.Size {
	return bigfile.Size{Services: d.Services, Servers: d.Servers, Routes: d.Routes, Tenants: d.Tenants}
}

// reading is what one file came to in a node.
type reading struct {
	bytes        float64 // MB of text
	start        float64 // s of processor time until it serves
	peak, lasts  float64 // MB resident: the most until then, and of its own a while after
	reload       float64 // s of processor time of one that changes nothing
	reloadPeak   float64 // MB resident, the most until after it
	change       float64 // s of processor time of one that changes a service and its pool
	idle         float64 // % of a core
	door, answer float64 // ms of processor time and bytes of the figures
}

// read starts a node by a file, lets it rest, and has it read the file anew.
func (o Options) read(ctx context.Context, name string, size bigfile.Size, rest time.Duration) (r reading, err error) {
	var text strings.Builder
	if err := size.Write(&text, "127.0.0.1:0"); err != nil {
		return r, err
	}
	door := "unix:" + filepath.Join(o.Dir, "read.door")
	// The node's limits must not be what stops it: what it takes is the question.
	whole := strings.Replace(text.String(), "\n[[service]]", "\n[limits]\nmemory = \"4GB\"\ndescriptors = 16384\n\n[[service]]", 1)
	whole = strings.Replace(whole, "listen = ", fmt.Sprintf("control = %q\nlisten = ", door), 1)
	r.bytes = float64(len(whole)) / 1e6
	p, err := o.begin(name, door, whole)
	if err != nil {
		return r, err
	}
	defer p.Kill()
	spent := func(do func() error) (float64, float64, error) {
		before, err := p.CPU()
		if err == nil {
			err = do()
		}
		if err != nil {
			return 0, 0, err
		}
		after, err1 := p.CPU()
		peak, err2 := p.Peak()
		return ticked(after - before).Seconds(), float64(peak) / 1e6, errors.Join(err1, err2)
	}
	started, err := p.CPU()
	if err != nil {
		return r, err
	}
	peak, err := p.Peak()
	if err != nil {
		return r, err
	}
	r.start, r.peak = ticked(started).Seconds(), float64(peak)/1e6
	if _, err = watch(ctx, p.Process, rest/4); err != nil { // what the start left is collected
		return r, err
	}
	u, err := watch(ctx, p.Process, rest)
	if err != nil {
		return r, err
	}
	r.idle, r.lasts = u.core, u.memory
	if r.reload, r.reloadPeak, err = spent(p.Reload); err != nil {
		return r, err
	}
	changed := strings.Replace(strings.Replace(whole, "concurrent = 100", "concurrent = 99", 1), "name = \"server-0\"\n", "name = \"server-0\"\nshare = 2.0\n", 1)
	if changed == whole {
		return r, errors.New("the file has nothing to change")
	}
	if err := os.WriteFile(filepath.Join(o.Dir, name+".toml"), []byte(changed), 0o600); err != nil {
		return r, fmt.Errorf("the node's file: %w", err)
	}
	if r.change, _, err = spent(p.Reload); err != nil {
		return r, err
	}
	if log := p.Logged(); strings.Contains(log, "reload failed") {
		return r, fmt.Errorf("the node did not take the file: %s", log)
	}
	const calls = 20
	took, _, err := spent(func() error {
		for range calls {
			all, err := p.call(ctx, "telemetry")
			if err != nil {
				return err
			}
			r.answer = float64(len(strings.Join(all, "\n")))
		}
		return nil
	})
	r.door = 1e3 * took / calls
	return r, err
}

// files measures what a node's file costs: in all, by parts of the stated size, and by each of what it
// holds alone, with the rest a tenth of the stated size.
func files(ctx context.Context, o Options) (found Found, err error) {
	rest := 4 * time.Second
	parts := []int{24, 8, 4, 2, 1}
	runs := tries
	if o.Small {
		rest, parts, runs = 200*time.Millisecond, []int{400, 200, 100, 50}, 1
	}
	full := o.wholeFile()
	base := Slope{Role: "node: its file", By: "services, with all else in proportion", Stated: float64(o.Services), Runs: runs}
	text, start := base.named("the text", "MB", 0), base.named("reading, checking, in force: processor time of the start", "s", 0)
	peak, lasts := base.named("peak of the start", "MB", o.Memory), base.named("memory at rest", "MB", o.Memory)
	reload, reloadPeak := base.named("a reload that changes nothing", "s", 0), base.named("peak of the reload", "MB", o.Memory)
	change, idle := base.named("a reload that changes a service and a pool", "s", 0), base.named("idle with the file in force", "% of a core", 100*o.Core)
	call, answer := base.named("figures at the door: processor time", "ms", 0), base.named("figures at the door: answer", "bytes", 0)
	all := []*Slope{text, start, peak, lasts, reload, reloadPeak, change, idle, call, answer}
	for _, part := range parts {
		size := full.Part(part)
		var got [10][]float64
		for run := range runs {
			r, err := o.read(ctx, fmt.Sprintf("file-%d-%d", part, run), size, rest)
			if err != nil {
				return found, fmt.Errorf("%d services: %w", size.Services, err)
			}
			for i, v := range []float64{r.bytes, r.start, r.peak, r.lasts, r.reload, r.reloadPeak, r.change, r.idle, r.door, r.answer} {
				got[i] = append(got[i], v)
			}
		}
		for i, s := range all {
			s.Samples = append(s.Samples, Sample{float64(size.Services), median(got[i])})
		}
		fmt.Fprintf(o.Log, "a file of %d services: %v\n", size.Services, got)
	}
	for _, s := range all {
		found.Slopes = append(found.Slopes, *s)
	}
	// One alone grows.
	tenth := full.Part(parts[0])
	for _, kind := range []struct {
		name   string
		stated int
		of     func(s *bigfile.Size) *int
	}{
		{"routes", full.Routes, func(s *bigfile.Size) *int { return &s.Routes }},
		{"tenants", full.Tenants, func(s *bigfile.Size) *int { return &s.Tenants }},
		{"servers", full.Servers, func(s *bigfile.Size) *int { return &s.Servers }},
	} {
		s := Slope{Role: "node: its file", Name: "a start by " + kind.name + " alone", Unit: "s", By: fmt.Sprintf("%s, with %d services", kind.name, tenth.Services), Stated: float64(kind.stated), Runs: 1}
		for _, part := range parts {
			size := tenth
			*kind.of(&size) = kind.stated / part
			r, err := o.read(ctx, fmt.Sprintf("%s-%d", kind.name, part), size, 100*time.Millisecond)
			if err != nil {
				return found, fmt.Errorf("%d %s: %w", kind.stated/part, kind.name, err)
			}
			s.Samples = append(s.Samples, Sample{float64(kind.stated / part), r.start})
		}
		found.Slopes = append(found.Slopes, s)
	}
	at := make(map[*Slope]Verdict)
	for _, s := range all {
		if at[s], err = s.Judge(); err != nil {
			return found, err
		}
	}
	day := (24 * time.Hour).Seconds()
	found.note("%s changes a day, each a reload of the whole file: %s%% of a core of the %s%% allowed, and %s bytes/s of the %s allowed were the file sent whole",
		digits(o.Changes), digits(100*o.Changes*at[change].Value/day), digits(100*o.Core), digits(1e6*o.Changes*at[text].Value/day), digits(o.Bytes))
	return found, nil
}
