// Package mailbox provides a message queue for one receiving goroutine, on which senders never block.
package mailbox

import "sync"

// Box is a message queue without a limit of its own. Its users bound it: a request's handler receives a few messages for
// each downstream call, and an event loop receives a few events for each open request or session.
type Box[T any] struct {
	Ready chan struct{} // receives a value after Put and Wake; holds one value at most

	mu    sync.Mutex
	items []T
}

// New returns an empty mailbox.
func New[T any]() *Box[T] { return &Box[T]{Ready: make(chan struct{}, 1)} }

// Put adds a message.
func (b *Box[T]) Put(x T) {
	b.mu.Lock()
	b.items = append(b.items, x)
	b.mu.Unlock()
	b.Wake()
}

// Wake wakes the receiver without a message.
func (b *Box[T]) Wake() {
	select {
	case b.Ready <- struct{}{}:
	default:
	}
}

// Len returns the number of queued messages.
func (b *Box[T]) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.items)
}

// TakeAll removes all messages and returns them in buf, whose earlier content is overwritten.
func (b *Box[T]) TakeAll(buf []T) []T {
	b.mu.Lock()
	defer b.mu.Unlock()
	buf = append(buf[:0], b.items...)
	clear(b.items)
	b.items = b.items[:0]
	return buf
}

// Next waits for the next message and removes it.
func (b *Box[T]) Next() T {
	for {
		b.mu.Lock()
		if len(b.items) > 0 {
			x := b.items[0]
			b.items = b.items[1:]
			b.mu.Unlock()
			return x
		}
		b.mu.Unlock()
		<-b.Ready
	}
}
