package store

import (
	"errors"
	"sync"

	"github.com/hashicorp/raft"
)

var errNoVote = errors.New("store: this replica is not a voter yet")

// gate is a raft transport that blocks voting RPCs in both directions while the replica is not a voter. raft itself goes by
// the latest configuration it has read, and a rejoined replica first replays old configurations, in which it was a voter
// although it has lost the votes it cast then.
type gate struct {
	*raft.NetworkTransport
	votes func() bool
	rpcs  chan raft.RPC
	over  chan struct{}
	once  sync.Once
}

func newGate(t *raft.NetworkTransport, votes func() bool) *gate {
	g := &gate{NetworkTransport: t, votes: votes, rpcs: make(chan raft.RPC), over: make(chan struct{})}
	go g.run()
	return g
}

func (g *gate) run() {
	for {
		select {
		case rpc := <-g.NetworkTransport.Consumer():
			if answer := forVoters(rpc.Command); answer != nil && !g.votes() {
				rpc.Respond(answer, errNoVote)
				continue
			}
			select {
			case g.rpcs <- rpc:
			case <-g.over:
				return
			}
		case <-g.over:
			return
		}
	}
}

// forVoters returns an empty response of the matching type for RPCs that only voters may handle, and nil for all others.
func forVoters(command any) any {
	header := raft.RPCHeader{ProtocolVersion: raft.ProtocolVersionMax}
	switch command.(type) {
	case *raft.RequestVoteRequest:
		return &raft.RequestVoteResponse{RPCHeader: header}
	case *raft.RequestPreVoteRequest:
		return &raft.RequestPreVoteResponse{RPCHeader: header}
	case *raft.TimeoutNowRequest:
		return &raft.TimeoutNowResponse{RPCHeader: header}
	}
	return nil
}

// Consumer returns the channel of incoming RPCs that passed the filter.
func (g *gate) Consumer() <-chan raft.RPC { return g.rpcs }

// RequestVote requests a vote from a peer. A non-voter sends no such request, so it never takes part in an election.
func (g *gate) RequestVote(id raft.ServerID, at raft.ServerAddress, in *raft.RequestVoteRequest, out *raft.RequestVoteResponse) error {
	if !g.votes() {
		return errNoVote
	}
	return g.NetworkTransport.RequestVote(id, at, in, out)
}

// RequestPreVote asks a peer whether it would grant a vote; a non-voter sends no such request.
func (g *gate) RequestPreVote(id raft.ServerID, at raft.ServerAddress, in *raft.RequestPreVoteRequest, out *raft.RequestPreVoteResponse) error {
	if !g.votes() {
		return errNoVote
	}
	return g.NetworkTransport.RequestPreVote(id, at, in, out)
}

// Close closes the transport and its stream layer.
func (g *gate) Close() error {
	g.once.Do(func() { close(g.over) })
	return g.NetworkTransport.Close()
}
