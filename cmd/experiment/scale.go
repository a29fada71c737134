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
	"jasperpin/internal/emulator/testbed"
)

// scaleRun measures how the program's costs grow, and holds them to what is allowed at a stated size.
func scaleRun(ctx context.Context, out io.Writer, args []string) (figures, error) {
	o := capacity.Options{Deployment: capacity.Stated, Log: os.Stderr}
	flags := flag.NewFlagSet("scale", flag.ContinueOnError)
	var names []string
	for _, t := range capacity.Trials {
		names = append(names, t.Name)
	}
	only := flags.String("only", "", "one trial: "+strings.Join(names, ", "))
	flags.BoolVar(&o.Small, "small", false, "small sizes, some seconds: shows that the trials work")
	flags.IntVar(&o.Nodes, "nodes", o.Nodes, "nodes of the stated size")
	flags.IntVar(&o.Servers, "servers", o.Servers, "servers of the stated size")
	flags.IntVar(&o.Services, "services", o.Services, "services of the stated size, of a pool each")
	flags.IntVar(&o.Routes, "routes", o.Routes, "routes of the stated size")
	flags.IntVar(&o.Tenants, "tenants", o.Tenants, "tenants of the stated size")
	flags.Float64Var(&o.RequestRate, "requests", o.RequestRate, "requests a second of the stated size")
	if err := flags.Parse(args); err != nil {
		return nil, err
	}
	var err error
	if o.Dir, err = os.MkdirTemp("", "scale"); err != nil {
		return nil, fmt.Errorf("a folder for the trials: %w", err)
	}
	defer os.RemoveAll(o.Dir)
	o.StartNode = func(dir, name, file string) (*testbed.Process, error) { return start(dir, "node", file) }
	var f figures
	var errs []error // one trial's failure leaves the others
	played := false
	for _, t := range capacity.Trials {
		if *only != "" && *only != t.Name {
			continue
		}
		played = true
		found, err := t.Run(ctx, o, out)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		for _, s := range found.Slopes {
			v, err := s.Judge()
			if errors.Is(err, capacity.ErrSamples) {
				continue // its table says so
			}
			if err != nil {
				return f, err
			}
			f.add(t.Name+"."+strings.NewReplacer(" ", "_", ",", "").Replace(s.Name), "%.4g", v.Value)
		}
	}
	if !played {
		return f, fmt.Errorf("no trial %q: want one of %s", *only, strings.Join(names, ", "))
	}
	return f, errors.Join(errs...)
}
