package main

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/config"
	"puffinsaddle/internal/core"
	"puffinsaddle/internal/net/accept"
	"puffinsaddle/internal/net/respfront"
	"puffinsaddle/internal/net/uwsgi"
)

const (
	addressInUseTimeout  = 5 * time.Second // how long to retry an address in use
	addressRetryInterval = 20 * time.Millisecond
)

// front is a core.Front that Serve runs.
type front interface {
	core.Front
	Serve()
}

// openFronts takes over the predecessor's sockets, or opens new ones. It retries while the predecessor may be exiting. In that
// case the predecessor hands over none or only some of its sockets, and its addresses become free shortly after.
func openFronts(cfg *config.Config, c *core.Core, clk *clock.Clock, log zerolog.Logger) (inherited inheritedState, fronts []front, sockets map[string]*net.TCPListener, err error) {
	for deadline := time.Now().Add(addressInUseTimeout); ; time.Sleep(addressRetryInterval) {
		if inherited, err = inheritSockets(cfg, log); err == nil {
			fronts, sockets, err = listenFronts(cfg, inherited.sockets, c, clk, log)
		}
		if err == nil || !inherited.incomplete && !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return inherited, fronts, sockets, err
		}
		log.Warn().Err(err).Msg("predecessor is exiting or still holds the address; retrying")
		inherited.close()
	}
}

// listenFronts opens the configured fronts, on inherited sockets where available. It closes inherited sockets that no front uses.
func listenFronts(cfg *config.Config, inherited map[string]*net.TCPListener, c *core.Core, clk *clock.Clock, log zerolog.Logger) (fronts []front, sockets map[string]*net.TCPListener, err error) {
	sockets = map[string]*net.TCPListener{}
	defer func() {
		if err != nil { // a retry must not find the addresses in use
			for _, s := range sockets {
				s.Close()
			}
		}
	}()
	openListener := func(address, service string) (*accept.Listener, error) {
		ln, err := accept.New(inherited[address], log), error(nil)
		if inherited[address] == nil {
			ln, err = accept.Listen(address, log)
		}
		if err == nil {
			log.Info().Stringer("at", ln.Addr()).Bool("inherited", inherited[address] != nil).Msg("serving " + service)
			sockets[address] = ln.Socket()
		}
		return ln, err
	}
	if cfg.Listen != "" {
		ln, err := openListener(cfg.Listen, "routers")
		if err != nil {
			return nil, nil, err
		}
		routers := respfront.New(ln, cfg.MaxRouterConnections(), c, clk, log)
		routers.SetMaxUnsentBytes(int(cfg.MemoryMB * routerAnswersMemoryFraction * (1 << 20)))
		fronts = append(fronts, routers)
	}
	if u := cfg.Operator.UWSGI; u.Listen != "" {
		ln, err := openListener(u.Listen, "uwsgi")
		if err != nil {
			return nil, nil, err
		}
		u.MemoryBytes = int(cfg.MemoryMB * gatewayMemoryFraction * (1 << 20))
		fronts = append(fronts, uwsgi.New(ln, u, c, clk, log))
	}
	for address, s := range inherited {
		if sockets[address] != s {
			s.Close() // no front accepts from it
		}
	}
	return fronts, sockets, nil
}
