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
	"starlingvalve/internal/memory"
)

const (
	ledgerMemoryShare = 1.0 / 8 // largest share of the memory limit for the answers that the ledger keeps
)

// siteGateway hands requests to other sites and serves requests of theirs. A node with a gateway file has one.
type siteGateway struct {
	config     *gateway.Config
	identities *link.IdentityStore
	dialer     *link.Dialer
	server     *link.Server
	handler    *front.Handler
	log        *slog.Logger
}

// openSiteGateway starts to connect to the other sites. It accepts no hand-offs from them before startServer is
// called.
func openSiteGateway(config *Config, log *slog.Logger) (*siteGateway, error) {
	g := &siteGateway{config: config.Gateway, identities: link.NewIdentityStore(config.Gateway.Identity), log: log}
	var err error
	g.dialer, err = link.NewDialer(link.DialerOptions{Identities: g.identities, MaxHandOffs: g.config.MaxHandOffsOut,
		Seed: uint64(config.Seed), Log: log})
	return g, err
}

// startServer starts to accept hand-offs from other sites and passes their requests to the loop.
func (g *siteGateway) startServer(config *Config, loop *core.Loop, account *memory.Account) error {
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(g.config.Listen))
	if err != nil {
		return fmt.Errorf("%s: site.listen: %w", g.config.Path, err)
	}
	memoryLimit := float64(config.Limits.MemoryMB << 20)
	g.handler = front.NewHandler(loop, config.Settings, account, g.log)
	g.handler.HandedOff = true
	g.server, err = link.NewServer(udp, link.ServerOptions{Identities: g.identities, MaxHandOffs: g.config.MaxHandOffsIn,
		Ledger: ledger.Limits{Entries: g.config.LedgerEntries, Bytes: min(g.config.LedgerBytes, int(ledgerMemoryShare*memoryLimit)),
			Retention: config.Settings.LongestDeadline() + time.Second},
		Handle: gateway.NewHandler(g.handler), Headroom: func() int { return int(math.Ceil(g.config.SpareShare * loop.Headroom())) }, Log: g.log})
	return err
}

// drain accepts no further hand-offs and completes those in flight, by end at the latest.
func (g *siteGateway) drain(end time.Time) {
	g.handler.Drain(end)
	g.server.Drain(end)
}

func (g *siteGateway) close() {
	if g.server != nil {
		g.server.Close()
	}
	g.dialer.Close()
}

// reload applies new certificates and roots and the removal of sites. New sites, addresses and limits take effect at
// the next start.
func (g *siteGateway) reload(next *gateway.Config) {
	g.identities.Set(next.Identity)
	g.log.Info("gateway file read again", "file", next.Path, "sites", len(next.Identity.Peers))
}

// remote returns the dialer to other sites for the loop, or nil if there is no gateway.
func (g *siteGateway) remote() core.Remote {
	if g == nil {
		return nil
	}
	return g.dialer
}
