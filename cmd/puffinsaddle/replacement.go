package main

import (
	"net"
	"net/url"
	"path/filepath"

	"github.com/rs/zerolog"

	"puffinsaddle/internal/config"
	"puffinsaddle/internal/net/handover"
)

// inheritedState is what a running predecessor hands over to this process, which replaces it.
type inheritedState struct {
	offerPath   string // where this process offers its own sockets to a successor; empty: it offers none
	sockets     map[string]*net.TCPListener
	predecessor net.Conn // the connection to the predecessor
	incomplete  bool     // the predecessor failed to hand its sockets over; it may be exiting
}

func (i inheritedState) hasSockets() bool { return len(i.sockets) > 0 }

func (i inheritedState) close() {
	if i.predecessor != nil {
		i.predecessor.Close()
	}
}

// inheritSockets requests the predecessor's listening sockets. The predecessor is found by name in the server's private
// directory; in a shared directory, a process of that name could belong to another server.
func inheritSockets(cfg *config.Config, log zerolog.Logger) (i inheritedState, err error) {
	if cfg.PrivateDir == "" {
		return i, nil
	}
	i.offerPath = filepath.Join(cfg.PrivateDir, url.PathEscape(cfg.Name)+".handover")
	if i.sockets, i.predecessor, err = handover.Take(i.offerPath); err != nil {
		i.incomplete = true
		return i, err
	}
	if i.hasSockets() {
		log.Info().Int("sockets", len(i.sockets)).Msg("replacing a running process")
	}
	return i, nil
}
