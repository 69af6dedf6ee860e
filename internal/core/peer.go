package core

import "puffinsaddle/policy"

// The messages that the two processes of one server exchange while one replaces the other.

// PeerLink sends messages to the other process of the server while one process replaces the other.
type PeerLink interface {
	// Send sends a message after all earlier ones, without blocking. If sent is not nil, it is called once the other
	// process will receive the message even if this process is killed, or once the other process is gone.
	Send(m PeerMessage, sent func())
}

// PeerMessage is a message about a keyed attempt or the limits of the server. Exactly one field is set. It is encoded under its
// field names.
type PeerMessage struct {
	Claim    *KeyedAttempt  `json:",omitempty"` // to the successor: the attempt starts if the successor permits it
	Response *ClaimResponse `json:",omitempty"` // to the predecessor: the response to a claim
	Started  *KeyedAttempt  `json:",omitempty"` // to the predecessor: the attempt starts
	Ended    *AttemptResult `json:",omitempty"` // to either: the attempt has ended

	Effects []string `json:",omitempty"` // to either: the IDs of requests whose effects the sender has started or is about to

	Limits *policy.PeerReport `json:",omitempty"` // to either: what the sender uses of the limits, and what it grants
}

// KeyedAttempt describes an attempt of a keyed request that a process has started, for the other process of the server. It
// is encoded under its field names.
type KeyedAttempt struct {
	Class     policy.Class
	Once      string  // the idempotency key
	Until     float64 // the end of the window, in Unix milliseconds
	Expires   float64 // when the entry may be removed, in Unix milliseconds
	Body      uint64  // hash of the body
	Good      bool    // it succeeded with Result; otherwise it failed, or its outcome is unknown
	Result    []byte
	RequestID string  // empty: from an earlier build
	ArrivedAt float64 // when the request reached the machine, in Unix milliseconds
	Running   bool    // it has not ended; an AttemptResult follows
}

func (a *KeyedAttempt) key() classKey { return classKey{a.Class.Name, a.Once, true} }

// ClaimResponse is the response to a claim.
type ClaimResponse struct {
	RequestID string
	Granted   bool // false: another attempt of the request was started
}

// AttemptResult is how a keyed attempt ended.
type AttemptResult struct {
	Class     string // the name of the class
	Once      string // the idempotency key
	RequestID string
	NotRun    bool // it was not started after all, so that another attempt may run
	Good      bool // it succeeded with Result
	Result    []byte
}

// attempt describes the attempt of an entry for the other process.
func (e *entry) attempt() *KeyedAttempt {
	return &KeyedAttempt{Class: e.class, Once: e.key.key, Until: e.windowEnd, Expires: e.expiresAt, Body: e.bodyHash,
		Good: e.ended && e.succeeded, Result: e.result, RequestID: e.requestID, ArrivedAt: e.arrivedAt, Running: !e.ended}
}

// end describes how the attempt of an entry ended.
func (e *entry) end(notRun bool) *AttemptResult {
	return &AttemptResult{Class: e.key.class, Once: e.key.key, RequestID: e.requestID, NotRun: notRun, Good: e.succeeded, Result: e.result}
}
