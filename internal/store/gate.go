package store

import (
	"errors"
	"sync"

	"github.com/hashicorp/raft"
)

var errNotVoter = errors.New("store: this copy has no vote yet")

// voteFilter is raft's transport of a copy that may not have its vote yet. raft itself goes by the latest configuration that it has
// read, and a copy that joined anew reads old ones first: those in which it had the vote that it has forgotten.
type voteFilter struct {
	*raft.NetworkTransport
	isVoter   func() bool
	rpcs      chan raft.RPC
	done      chan struct{}
	closeOnce sync.Once
}

func newVoteFilter(t *raft.NetworkTransport, isVoter func() bool) *voteFilter {
	g := &voteFilter{NetworkTransport: t, isVoter: isVoter, rpcs: make(chan raft.RPC), done: make(chan struct{})}
	go g.run()
	return g
}

func (g *voteFilter) run() {
	for {
		select {
		case rpc := <-g.NetworkTransport.Consumer():
			if response := emptyVotingResponse(rpc.Command); response != nil && !g.isVoter() {
				rpc.Respond(response, errNotVoter)
				continue
			}
			select {
			case g.rpcs <- rpc:
			case <-g.done:
				return
			}
		case <-g.done:
			return
		}
	}
}

// emptyVotingResponse is an empty answer to what is asked of voters alone; nil: it is asked of all.
func emptyVotingResponse(command any) any {
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
func (g *voteFilter) Consumer() <-chan raft.RPC { return g.rpcs }

// RequestVote asks for a vote; a copy without one asks nobody, so it never takes part in an election.
func (g *voteFilter) RequestVote(id raft.ServerID, address raft.ServerAddress, in *raft.RequestVoteRequest, out *raft.RequestVoteResponse) error {
	if !g.isVoter() {
		return errNotVoter
	}
	return g.NetworkTransport.RequestVote(id, address, in, out)
}

// RequestPreVote asks whether there would be one.
func (g *voteFilter) RequestPreVote(id raft.ServerID, address raft.ServerAddress, in *raft.RequestPreVoteRequest, out *raft.RequestPreVoteResponse) error {
	if !g.isVoter() {
		return errNotVoter
	}
	return g.NetworkTransport.RequestPreVote(id, address, in, out)
}

// Close ends the transport and its lane.
func (g *voteFilter) Close() error {
	g.closeOnce.Do(func() { close(g.done) })
	return g.NetworkTransport.Close()
}
