package handover

import (
	"encoding/json"
	"net"
	"time"

	"github.com/rs/zerolog"

	"puffinsaddle/internal/core"
	"puffinsaddle/policy"
)

// peerLink is a link to the other process of the server, over which both report on keyed attempts.
type peerLink struct{ link *Link }

// Send sends a message.
func (l peerLink) Send(m core.PeerMessage, sent func()) { l.link.Send(m, sent) }

// newPeerLink returns nil if no messages are exchanged over the link.
func newPeerLink(link *Link) core.PeerLink {
	if !link.exchangesMessages() {
		return nil
	}
	return peerLink{link}
}

// newLimitsLink returns nil if no reports on limits are exchanged over the link.
func newLimitsLink(link *Link) core.PeerLink {
	if !link.reportsLimits() {
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

// State returns the keyed attempts that ran in this process, and divides the limits with the successor from now on.
func (k keyedAttempts) State(successor *Link) []byte {
	successor.peer = k.core.AddPeer(newLimitsLink(successor), true)
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
	k.core.RemovePeer(successor.peer)
	if !successor.exchangesMessages() {
		k.core.ResumeKeyedStarts()
		return
	}
	k.core.PeerEnded(peerLink{successor})
}

// ImportKeyedAttempts announces to the predecessor that this process is about to serve, imports its keyed attempts, and
// coordinates further ones with it. A predecessor that sends none may go on starting keyed requests; this process then starts
// none until the predecessor has exited and its keys have expired. The limits of the server are divided with the predecessor;
// this process serves once it has learned its part.
func ImportKeyedAttempts(c *core.Core, predecessor net.Conn, log zerolog.Logger) {
	var attempts []core.KeyedAttempt
	data, link, received := AnnounceServing(predecessor)
	if !received || json.Unmarshal(data, &attempts) != nil {
		log.Warn().Msg("predecessor sent no keyed attempts; keyed requests wait for its exit")
		c.SuspendKeyedStarts()
		peer := c.AddPeer(nil, false)
		go func() {
			WaitForExit(predecessor)
			c.RemovePeer(peer)
			c.ResumeKeyedStarts()
		}()
		return
	}
	c.ImportKeyedAttempts(newPeerLink(link), attempts)
	link.peer = c.AddPeer(newLimitsLink(link), false)
	go serveLinkToPredecessor(c, link, log)
	if link.reportsLimits() {
		awaitFirstReport(c, link.peer, log)
	}
}

// serveLinkToPredecessor exchanges messages with the predecessor, or only waits if its build exchanges none, until it has ended.
func serveLinkToPredecessor(c *core.Core, link *Link, log zerolog.Logger) {
	if !link.exchangesMessages() {
		WaitForExit(link.conn)
		c.RemovePeer(link.peer)
		return
	}
	link.Serve(func(content json.RawMessage) { receive(c, link, content, log) })
	c.RemovePeer(link.peer)
	c.PeerEnded(peerLink{link})
}

// awaitFirstReport waits until this process knows its part of the limits, with a timeout.
func awaitFirstReport(c *core.Core, predecessor policy.PeerID, log zerolog.Logger) {
	select {
	case <-c.FirstReport(predecessor):
	case <-time.After(handshakeTimeout):
		log.Warn().Msg("predecessor has not reported its use of the limits; requests are refused until it does")
	}
}
