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

// scaleRun measures how the program's costs grow, and compares them with the limits at the stated size.
func scaleRun(ctx context.Context, out io.Writer, args []string) (measurements, error) {
	options := capacity.Options{Deployment: capacity.Stated, Log: os.Stderr, StartNode: startNodeFromFile}
	only, err := parseScaleFlags(&options, args)
	if err != nil {
		return nil, err
	}
	trials, err := selectTrials(only)
	if err != nil {
		return nil, err
	}
	if options.Dir, err = tempDir(); err != nil {
		return nil, err
	}
	defer os.RemoveAll(options.Dir)
	var measured measurements
	var errs []error // a failed trial does not stop the others
	for _, t := range trials {
		found, err := t.Run(ctx, options, out)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		if err := addSlopes(&measured, t.Name, found.Slopes); err != nil {
			return measured, err
		}
	}
	return measured, errors.Join(errs...)
}

// parseScaleFlags sets options, and returns the name of the only trial to run, or "" for all trials.
func parseScaleFlags(options *capacity.Options, args []string) (string, error) {
	flags := flag.NewFlagSet("scale", flag.ContinueOnError)
	only := flags.String("only", "", "run only this trial: one of "+strings.Join(trialNames(), ", "))
	flags.BoolVar(&options.Small, "small", false, "use small sizes and run for some seconds, to check that the trials work")
	flags.IntVar(&options.Nodes, "nodes", options.Nodes, "number of nodes at the stated size")
	flags.IntVar(&options.Servers, "servers", options.Servers, "number of servers at the stated size")
	flags.IntVar(&options.Services, "services", options.Services, "number of services at the stated size, each with a pool")
	flags.IntVar(&options.Routes, "routes", options.Routes, "number of routes at the stated size")
	flags.IntVar(&options.Tenants, "tenants", options.Tenants, "number of tenants at the stated size")
	flags.Float64Var(&options.RequestRate, "requests", options.RequestRate, "requests per second at the stated size")
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

// selectTrials returns the trial named only, or all trials if only is "".
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

// addSlopes adds the value of each slope at the stated size, except for slopes that cannot be fitted: the trial's
// table reports those.
func addSlopes(measured *measurements, trial string, slopes []capacity.Slope) error {
	for _, s := range slopes {
		v, err := s.Evaluate()
		if errors.Is(err, capacity.ErrSamples) {
			continue
		}
		if err != nil {
			return err
		}
		measured.add(trial+"."+strings.NewReplacer(" ", "_", ",", "").Replace(s.Name), "%.4g", v.Value)
	}
	return nil
}
