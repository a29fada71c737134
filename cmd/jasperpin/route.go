package main

import (
	"fmt"
	"net/url"
	"strings"

	"github.com/spf13/cobra"

	"jasperpin/internal/config"
	"jasperpin/internal/route"
)

// routeCommand returns the `route` command.
func routeCommand() *cobra.Command {
	var headers []string
	cmd := &cobra.Command{
		Use: "route FILE METHOD URL", Short: "Show the service and pool that a request is routed to, and why", Args: cobra.ExactArgs(3),
		Example: "  jasperpin route deploy/jasperpin.toml GET http://orders.example.org/look/7\n" +
			"  jasperpin route deploy/jasperpin.toml POST http://127.0.0.1:8080/order/7 -H host:orders.example.org",
		RunE: func(cmd *cobra.Command, args []string) error {
			cfg, err := config.Load(args[0])
			if err != nil {
				return err
			}
			text, err := explainRoute(cfg, args[1], args[2], headers)
			if err != nil {
				return err
			}
			fmt.Fprint(cmd.OutOrStdout(), text)
			return nil
		},
	}
	cmd.Flags().StringArrayVarP(&headers, "header", "H", nil, "a header as name:value; host overrides the host of the URL")
	return cmd
}

// explainRoute returns the service and pools that a request is routed to, and why. If weights decide, explainRoute
// lists every pool that the request may be routed to.
func explainRoute(cfg *config.Config, method, target string, headers []string) (string, error) {
	host, path, err := splitTarget(target, headers)
	if err != nil {
		return "", err
	}
	table, err := cfg.Table()
	if err != nil {
		return "", err
	}
	match, ok, err := table.Find(host, route.Query{Path: path, Method: method})
	if err != nil {
		return "", fmt.Errorf("%s with host %q: %w", target, host, err)
	}
	if !ok {
		return "", fmt.Errorf("no route: a request with host %q, path %q and method %s is answered 404", host, path, method)
	}
	pools := make(map[string]config.Pool)
	for _, p := range cfg.Pools {
		pools[p.Name] = p
	}
	var b strings.Builder
	fmt.Fprintf(&b, "service %s\n", match.Rule.Service)
	for _, t := range match.Rule.Targets {
		if t.Weight == 0 {
			continue
		}
		match.Pool = t.Pool
		class := match.Class
		if _, ok := pools[t.Pool].Classes[class]; !ok {
			class += ", which the pool does not have: answered 404"
		}
		fmt.Fprintf(&b, "pool    %s\nclass   %s\nbecause %s\n", t.Pool, class, match.Reason())
	}
	return b.String(), nil
}

// splitTarget returns the host and path of a request: http://HOST/PATH, or /PATH with a host header.
func splitTarget(target string, headers []string) (host, path string, err error) {
	parsed, err := url.Parse(target)
	if err != nil {
		return "", "", fmt.Errorf("URL: %w", err)
	}
	if parsed.Host == "" && !strings.HasPrefix(target, "/") {
		return "", "", fmt.Errorf("URL %q: want http://HOST/PATH or /PATH", target)
	}
	host = parsed.Host
	for _, h := range headers {
		name, value, ok := strings.Cut(h, ":")
		if !ok {
			return "", "", fmt.Errorf("header %q: want name:value", h)
		}
		if strings.EqualFold(strings.TrimSpace(name), "host") {
			host = strings.TrimSpace(value)
		}
	}
	path = parsed.EscapedPath()
	if path == "" {
		path = "/"
	}
	return host, path, nil
}
