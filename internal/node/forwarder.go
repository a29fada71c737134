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

// plannerClients are the clients by which a forwarder's pools ask planners, one a pool.
type plannerClients struct {
	mu      sync.Mutex               // guards what follows
	options plannerrpc.ClientOptions // what all have in common
	clients map[*plannerrpc.Client]bool
}

// newPlannerClients reads a forwarder's certificates.
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

// newPlacer makes a pool's client. It is forgotten once the pool closes it.
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

// setPlanners has all clients ask the planners at other addresses, in the order of preference.
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
