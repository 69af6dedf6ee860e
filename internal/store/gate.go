package store

import (
	"errors"
	"sync"

	"github.com/hashicorp/raft"
)

var errNoVote = errors.New("store: this copy has no vote yet")

// gate is raft's transport of a copy that may not have its vote yet. raft itself goes by the latest configuration that it has
// read, and a copy that joined anew reads old ones first: those in which it had the vote that it has forgotten.
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

// forVoters is an empty answer to what is asked of voters alone; nil: it is asked of all.
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

// Consumer is what others ask.
func (g *gate) Consumer() <-chan raft.RPC { return g.rpcs }

// RequestVote asks for a vote; a copy without one asks nobody, so it never takes part in an election.
func (g *gate) RequestVote(id raft.ServerID, at raft.ServerAddress, in *raft.RequestVoteRequest, out *raft.RequestVoteResponse) error {
	if !g.votes() {
		return errNoVote
	}
	return g.NetworkTransport.RequestVote(id, at, in, out)
}

// RequestPreVote asks whether there would be one.
func (g *gate) RequestPreVote(id raft.ServerID, at raft.ServerAddress, in *raft.RequestPreVoteRequest, out *raft.RequestPreVoteResponse) error {
	if !g.votes() {
		return errNoVote
	}
	return g.NetworkTransport.RequestPreVote(id, at, in, out)
}

// Close ends the transport and its lane.
func (g *gate) Close() error {
	g.once.Do(func() { close(g.over) })
	return g.NetworkTransport.Close()
}
