package app

import (
	"fmt"
	"log/slog"
	"math"
	"net"
	"time"

	"starlingvalve/internal/core"
	"starlingvalve/internal/front"
	"starlingvalve/internal/gateway"
	"starlingvalve/internal/ledger"
	"starlingvalve/internal/link"
)

const (
	foreignBodyPart = 1.0 / 16 // of the memory: bodies of hand-offs
	ledgerPart      = 1.0 / 8  // of the memory: answers that the ledger keeps, at most
)

// gate is what a node has beside its own hall's parts once a gateway file is given.
type gate struct {
	config  *gateway.Config
	keeper  *link.Keeper
	dialer  *link.Dialer
	server  *link.Server
	handler *front.Handler
	log     *slog.Logger
}

// openGate begins to call the other sites. Hand-offs from there are taken once it is given its loop.
func openGate(c *Config, log *slog.Logger) (*gate, error) {
	g := &gate{config: c.Gateway, keeper: link.NewKeeper(c.Gateway.Identity), log: log}
	var err error
	g.dialer, err = link.NewDialer(link.DialerOptions{Keeper: g.keeper, Most: g.config.Out, Seed: uint64(c.Seed), Log: log})
	return g, err
}

// take begins to take hand-offs, as a front of the loop.
func (g *gate) take(c *Config, loop *core.Loop) error {
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(g.config.Listen))
	if err != nil {
		return fmt.Errorf("%s: site.listen: %w", g.config.Path, err)
	}
	memory := float64(c.Limits.MemoryMB << 20)
	g.handler = front.NewHandler(loop, c.Settings, int64(foreignBodyPart*memory), g.log)
	g.handler.Foreign = true
	g.server, err = link.NewServer(udp, link.ServerOptions{Keeper: g.keeper, Handoffs: g.config.In,
		Ledger: ledger.Limits{Entries: g.config.Entries, Bytes: min(g.config.Bytes, int(ledgerPart*memory)), Keep: c.Settings.LongestDeadline() + time.Second},
		Handle: gateway.Handle(g.handler), Credit: func() int { return int(math.Ceil(g.config.SpareShare * loop.Headroom())) }, Log: g.log})
	return err
}

// drain ends what the node does for other sites by end.
func (g *gate) drain(end time.Time) {
	g.handler.Drain(end)
	g.server.Drain(end)
}

func (g *gate) close() {
	if g.server != nil {
		g.server.Close()
	}
	g.dialer.Close()
}

// reload takes over certificates, roots and the removal of sites. Sites that are new, addresses and limits wait for the
// next start.
func (g *gate) reload(next *gateway.Config) {
	g.keeper.Set(next.Identity)
	g.log.Info("gateway file read again", "file", next.Path, "sites", len(next.Identity.Peers))
}

// remote is the gate as the loop's port; nil where there is none.
func (g *gate) remote() core.Remote {
	if g == nil {
		return nil
	}
	return g.dialer
}
