package main

import (
	"fmt"
	"net/url"
	"runtime/debug"
	"strings"

	"github.com/spf13/cobra"

	"jasperpin/internal/config"
	"jasperpin/internal/route"
)

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use: "check FILE", Short: "Check a configuration: all mistakes at once, exit 1 where there are any", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			cfg, err := config.Load(args[0])
			if err != nil {
				return err
			}
			routes := 0
			for _, s := range cfg.Services {
				routes += len(s.Routes)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: %d services, %d routes, %d pools\n", args[0], len(cfg.Services), routes, len(cfg.Pools))
			return nil
		},
	}
}

func routeCommand() *cobra.Command {
	var headers []string
	cmd := &cobra.Command{
		Use: "route FILE METHOD URL", Short: "Say which service and pool a request reaches, and why", Args: cobra.ExactArgs(3),
		Example: "  jasperpin route deploy/jasperpin.toml GET http://orders.example.org/look/7\n" +
			"  jasperpin route deploy/jasperpin.toml POST http://127.0.0.1:8080/order/7 -H host:orders.example.org",
		RunE: func(cmd *cobra.Command, args []string) error {
			cfg, err := config.Load(args[0])
			if err != nil {
				return err
			}
			text, err := explain(cfg, args[1], args[2], headers)
			if err != nil {
				return err
			}
			fmt.Fprint(cmd.OutOrStdout(), text)
			return nil
		},
	}
	cmd.Flags().StringArrayVarP(&headers, "header", "H", nil, "a header as name:value; host goes before the URL's")
	return cmd
}

// explain says where a request goes. Where weights decide it names every pool
// that it may reach.
func explain(cfg *config.Config, method, target string, headers []string) (string, error) {
	u, err := url.Parse(target)
	if err != nil {
		return "", fmt.Errorf("URL: %w", err)
	}
	if u.Host == "" && !strings.HasPrefix(target, "/") {
		return "", fmt.Errorf("URL %q: want http://HOST/PATH or /PATH", target)
	}
	host := u.Host
	for _, h := range headers {
		name, value, ok := strings.Cut(h, ":")
		if !ok {
			return "", fmt.Errorf("header %q: want name:value", h)
		}
		if strings.EqualFold(strings.TrimSpace(name), "host") {
			host = strings.TrimSpace(value)
		}
	}
	path := u.EscapedPath()
	if path == "" {
		path = "/"
	}
	table, err := cfg.Table()
	if err != nil {
		return "", err
	}
	m, ok, err := table.Find(host, route.Query{Path: path, Method: method})
	if err != nil {
		return "", fmt.Errorf("%s with host %q: %w", target, host, err)
	}
	if !ok {
		return "", fmt.Errorf("no route: host %q, path %q, method %s are answered 404", host, path, method)
	}
	pools := make(map[string]config.Pool)
	for _, p := range cfg.Pools {
		pools[p.Name] = p
	}
	var b strings.Builder
	fmt.Fprintf(&b, "service %s\n", m.Rule.Service)
	for _, g := range m.Rule.Targets {
		if g.Weight == 0 {
			continue
		}
		m.Pool = g.Pool
		class := m.Class
		if _, ok := pools[g.Pool].Classes[class]; !ok {
			class += ", which the pool does not have: answered 404"
		}
		fmt.Fprintf(&b, "pool    %s\nclass   %s\nbecause %s\n", g.Pool, class, m.Reason())
	}
	return b.String(), nil
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Say which build this is", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), version()) },
	}
}

// version is the module's version and the revision it was built from, as far as
// the build noted them.
func version() string {
	text := "jasperpin"
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return text
	}
	if v := info.Main.Version; v != "" {
		text += " " + v
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			text += " " + s.Value
		}
	}
	return text + " " + info.GoVersion
}
