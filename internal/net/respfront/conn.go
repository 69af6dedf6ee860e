package respfront

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"puffinsaddle/internal/core"
)

// conn is one connection: one goroutine reads it, one writes it, and handlers queue answers in any order.
type conn struct {
	front  *Front
	nc     net.Conn
	raw    syscall.RawConn
	wakeup chan struct{}

	// Used by the reader only.
	waitingSince    time.Time // start of the command being read, or of the wait for the first one
	invalidRequests int

	forgedSeen atomic.Bool // the executor did not know a request of this connection, before any was served

	mu              sync.Mutex
	inCommand       bool                     // a command was partly read, or a complete one is being handled; set by the reader only
	awaitingRest    bool                     // with inCommand: all input was read, and it ends within a command
	openRequests    map[uint64]*core.Handler // by tag; nil until the handler is known, and for a request that is not accepted
	takenBack       int                      // requests that the router has taken back and that have not ended
	sendBuffer      []byte
	unsent          int // bytes of it, and of what is being written
	writing         bool
	closingSent     bool    // the closing message was sent or queued
	closingSentMS   float64 // in Unix milliseconds
	readDone        bool    // nothing more is read
	broken          bool    // nothing more is read or written
	receivedCommand bool    // a complete command arrived
	servedRequest   bool    // at least one request was served
	lastUsedMS      float64 // time of the last command or answer, in Unix milliseconds
}
