package store

import (
	"errors"
	"sync"

	"github.com/hashicorp/raft"
)

var errNotVoter = errors.New("store: this replica is not a voter yet")

// voteFilter is a raft transport that blocks voting RPCs in both directions while the replica is not a voter. raft itself goes
// by the latest configuration it has read, and a rejoined replica first replays old configurations: in these it is a voter,
// although it no longer knows the votes it cast then.
type voteFilter struct {
	*raft.NetworkTransport
	isVoter   func() bool
	rpcs      chan raft.RPC
	done      chan struct{}
	closeOnce sync.Once
}

func newVoteFilter(t *raft.NetworkTransport, isVoter func() bool) *voteFilter {
	f := &voteFilter{NetworkTransport: t, isVoter: isVoter, rpcs: make(chan raft.RPC), done: make(chan struct{})}
	go f.run()
	return f
}

func (f *voteFilter) run() {
	for {
		select {
		case rpc := <-f.NetworkTransport.Consumer():
			if response := emptyVotingResponse(rpc.Command); response != nil && !f.isVoter() {
				rpc.Respond(response, errNotVoter)
				continue
			}
			select {
			case f.rpcs <- rpc:
			case <-f.done:
				return
			}
		case <-f.done:
			return
		}
	}
}

// emptyVotingResponse returns an empty response of the matching type for RPCs that only voters may handle, and nil for all
// others.
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

// Consumer returns the channel of incoming RPCs that passed the filter.
func (f *voteFilter) Consumer() <-chan raft.RPC { return f.rpcs }

// RequestVote requests a vote from a peer. A non-voter sends no such request, so it never takes part in an election.
func (f *voteFilter) RequestVote(id raft.ServerID, address raft.ServerAddress, in *raft.RequestVoteRequest, out *raft.RequestVoteResponse) error {
	if !f.isVoter() {
		return errNotVoter
	}
	return f.NetworkTransport.RequestVote(id, address, in, out)
}

// RequestPreVote asks a peer whether it would grant a vote; a non-voter sends no such request.
func (f *voteFilter) RequestPreVote(id raft.ServerID, address raft.ServerAddress, in *raft.RequestPreVoteRequest, out *raft.RequestPreVoteResponse) error {
	if !f.isVoter() {
		return errNotVoter
	}
	return f.NetworkTransport.RequestPreVote(id, address, in, out)
}

// Close closes the transport and its stream layer.
func (f *voteFilter) Close() error {
	f.closeOnce.Do(func() { close(f.done) })
	return f.NetworkTransport.Close()
}
