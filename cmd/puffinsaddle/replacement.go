package main

import (
	"encoding/json"
	"net"
	"net/url"
	"path/filepath"

	"github.com/rs/zerolog"

	"puffinsaddle/internal/config"
	"puffinsaddle/internal/core"
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

// encodeKeyedAttempts encodes, for a successor, the keyed attempts that ran in this process.
func encodeKeyedAttempts(c *core.Core, log zerolog.Logger) []byte {
	data, err := json.Marshal(c.ExportKeyedAttempts())
	logFailure(log, err) // never fails, since the attempts have no NaN or infinite numbers
	return data
}

// importKeyedAttempts imports the keyed attempts of the predecessor, if there is one. A predecessor that sends none may go on
// starting keyed requests; this process then starts none until the predecessor has exited and its keys have expired.
func importKeyedAttempts(c *core.Core, predecessor net.Conn, log zerolog.Logger) {
	if predecessor == nil {
		return
	}
	var attempts []core.KeyedAttempt
	data, received := handover.AnnounceServing(predecessor)
	if received && json.Unmarshal(data, &attempts) == nil {
		c.ImportKeyedAttempts(attempts)
		return
	}
	log.Warn().Msg("predecessor sent no keyed attempts; keyed requests wait for its exit")
	c.ExportKeyedAttempts()
	go func() {
		handover.WaitForExit(predecessor)
		c.ResumeKeyedAttempts()
	}()
}
