package handover

import (
	"encoding/json"
	"net"

	"github.com/rs/zerolog"

	"puffinsaddle/internal/core"
)

// peerLink is a link to the other process of the server, over which both report on keyed attempts.
type peerLink struct{ link *Link }

// Send sends a message.
func (l peerLink) Send(m core.PeerMessage, sent func()) { l.link.Send(m, sent) }

// newPeerLink returns nil if there is no link.
func newPeerLink(link *Link) core.PeerLink {
	if link == nil {
		return nil
	}
	return peerLink{link}
}

// receive passes a message of the other process to the core.
func receive(c *core.Core, from *Link, content json.RawMessage, log zerolog.Logger) {
	var m core.PeerMessage
	if err := json.Unmarshal(content, &m); err != nil {
		log.Error().Err(err).Msg("message of the other process is malformed")
		return
	}
	c.ReceiveFromPeer(peerLink{from}, m)
}

// keyedAttempts hands the keyed attempts of a core over to successors, and coordinates further ones with them.
type keyedAttempts struct {
	core *core.Core
	log  zerolog.Logger
}

// KeyedAttempts returns a Predecessor that hands the keyed attempts of a core over, and coordinates further ones.
func KeyedAttempts(c *core.Core, log zerolog.Logger) Predecessor { return keyedAttempts{c, log} }

// State returns the keyed attempts that ran in this process.
func (k keyedAttempts) State(successor *Link) []byte {
	data, err := json.Marshal(k.core.ExportKeyedAttempts(newPeerLink(successor)))
	if err != nil { // never, since the attempts have no NaN or infinite numbers
		k.log.Error().Err(err).Msg("keyed attempts were not handed over")
	}
	return data
}

// Receive handles a message of a successor.
func (k keyedAttempts) Receive(successor *Link, content json.RawMessage) {
	receive(k.core, successor, content, k.log)
}

// SuccessorEnded lets this process decide alone again.
func (k keyedAttempts) SuccessorEnded(successor *Link) {
	if successor == nil {
		k.core.ResumeKeyedStarts()
		return
	}
	k.core.PeerEnded(peerLink{successor})
}

// ImportKeyedAttempts announces to the predecessor that this process is about to serve, imports its keyed attempts, and
// coordinates further ones with it. A predecessor that sends none may go on starting keyed requests; this process then starts
// none until the predecessor has exited and its keys have expired.
func ImportKeyedAttempts(c *core.Core, predecessor net.Conn, log zerolog.Logger) {
	var attempts []core.KeyedAttempt
	data, link, received := AnnounceServing(predecessor)
	if !received || json.Unmarshal(data, &attempts) != nil {
		log.Warn().Msg("predecessor sent no keyed attempts; keyed requests wait for its exit")
		c.SuspendKeyedStarts()
		go func() {
			WaitForExit(predecessor)
			c.ResumeKeyedStarts()
		}()
		return
	}
	c.ImportKeyedAttempts(newPeerLink(link), attempts)
	if link == nil {
		return
	}
	go func() {
		link.Serve(func(content json.RawMessage) { receive(c, link, content, log) })
		c.PeerEnded(peerLink{link})
	}()
}
