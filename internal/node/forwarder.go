package node

import (
	"fmt"
	"log/slog"
	"slices"
	"sync"

	"jasperpin/internal/config"
	"jasperpin/internal/core"
	"jasperpin/internal/plannerrpc"
)

// plannerClients are a forwarder's clients of planners, one for each pool.
type plannerClients struct {
	mu      sync.Mutex               // guards the fields below
	options plannerrpc.ClientOptions // common to all clients
	clients map[*plannerrpc.Client]bool
}

// newPlannerClients loads a forwarder's certificates and returns an empty set of clients.
func newPlannerClients(cfg *config.Config, log *slog.Logger) (*plannerClients, error) {
	tls, err := cfg.Planning.Files.Load(plannerrpc.PlannerDNSName)
	if err != nil {
		return nil, fmt.Errorf("planning: %w", err)
	}
	return &plannerClients{
		options: plannerrpc.ClientOptions{Name: cfg.Name, Planners: cfg.Planning.Planners, TLS: tls, Seed: cfg.Seed, Log: log},
		clients: make(map[*plannerrpc.Client]bool),
	}, nil
}

// newPlacer returns a new client for a pool. The client is removed once the pool closes it.
func (c *plannerClients) newPlacer(p *config.Pool) core.Placer {
	c.mu.Lock()
	defer c.mu.Unlock()
	options := c.options
	options.Pool, options.Classes = p.Name, p.ClassNames()
	options.OnClose = c.forget
	client := plannerrpc.NewClient(options)
	c.clients[client] = true
	return client
}

func (c *plannerClients) forget(client *plannerrpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.clients, client)
}

// setPlanners replaces the planners' addresses of all clients, in order of preference.
func (c *plannerClients) setPlanners(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Equal(addresses, c.options.Planners) {
		return
	}
	c.options.Planners = addresses
	for client := range c.clients {
		client.SetPlanners(addresses)
	}
}
