package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"jasperpin/internal/capacity"
)

var errUnknownTrial = errors.New("unknown trial")

// scaleRun measures how the program's costs grow, and compares them with what is allowed at the stated size.
func scaleRun(ctx context.Context, out io.Writer, args []string) (measurements, error) {
	o := capacity.Options{Deployment: capacity.Stated, Log: os.Stderr, StartNode: startNodeFromFile}
	only, err := parseScaleFlags(&o, args)
	if err != nil {
		return nil, err
	}
	trials, err := selectTrials(only)
	if err != nil {
		return nil, err
	}
	if o.Dir, err = tempDir(); err != nil {
		return nil, err
	}
	defer os.RemoveAll(o.Dir)
	var m measurements
	var errs []error // a trial that fails leaves the others
	for _, t := range trials {
		found, err := t.Run(ctx, o, out)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		if err := addSlopes(&m, t.Name, found.Slopes); err != nil {
			return m, err
		}
	}
	return m, errors.Join(errs...)
}

// parseScaleFlags sets options, and returns the name of the only trial to be run, or "".
func parseScaleFlags(o *capacity.Options, args []string) (string, error) {
	flags := flag.NewFlagSet("scale", flag.ContinueOnError)
	only := flags.String("only", "", "one trial: "+strings.Join(trialNames(), ", "))
	flags.BoolVar(&o.Small, "small", false, "small sizes, some seconds: shows that the trials work")
	flags.IntVar(&o.Nodes, "nodes", o.Nodes, "nodes of the stated size")
	flags.IntVar(&o.Servers, "servers", o.Servers, "servers of the stated size")
	flags.IntVar(&o.Services, "services", o.Services, "services of the stated size, of a pool each")
	flags.IntVar(&o.Routes, "routes", o.Routes, "routes of the stated size")
	flags.IntVar(&o.Tenants, "tenants", o.Tenants, "tenants of the stated size")
	flags.Float64Var(&o.RequestRate, "requests", o.RequestRate, "requests a second of the stated size")
	err := flags.Parse(args)
	return *only, err
}

func trialNames() []string {
	var names []string
	for _, t := range capacity.Trials {
		names = append(names, t.Name)
	}
	return names
}

// selectTrials returns the trial of a name, or all trials for "".
func selectTrials(only string) ([]capacity.Trial, error) {
	if only == "" {
		return capacity.Trials, nil
	}
	for _, t := range capacity.Trials {
		if t.Name == only {
			return []capacity.Trial{t}, nil
		}
	}
	return nil, fmt.Errorf("%w %q: want one of %s", errUnknownTrial, only, strings.Join(trialNames(), ", "))
}

// addSlopes adds what each slope comes to at the stated size, except of those that cannot be fitted: their
// table says so.
func addSlopes(m *measurements, trial string, slopes []capacity.Slope) error {
	for _, s := range slopes {
		v, err := s.Judge()
		if errors.Is(err, capacity.ErrSamples) {
			continue
		}
		if err != nil {
			return err
		}
		m.add(trial+"."+strings.NewReplacer(" ", "_", ",", "").Replace(s.Name), "%.4g", v.Value)
	}
	return nil
}
