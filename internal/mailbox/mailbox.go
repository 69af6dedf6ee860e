// Package mailbox hands what happens to one goroutine, in order, and never makes a sender wait.
package mailbox

import "sync"

// Box is one mailbox. What lies in it is bounded by its use: a life gets a few messages a call, an owner a few events
// for each open request or session.
type Box[T any] struct {
	Ready chan struct{} // gets a word after each Put and Poke

	mu    sync.Mutex
	items []T
}

// New is an empty mailbox.
func New[T any]() *Box[T] { return &Box[T]{Ready: make(chan struct{}, 1)} }

// Put adds a message.
func (b *Box[T]) Put(x T) {
	b.mu.Lock()
	b.items = append(b.items, x)
	b.mu.Unlock()
	b.Wake()
}

// Wake wakes the owner without a message.
func (b *Box[T]) Wake() {
	select {
	case b.Ready <- struct{}{}:
	default:
	}
}

// Len is how many messages lie in it.
func (b *Box[T]) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.items)
}

// TakeAll empties the box into buf.
func (b *Box[T]) TakeAll(buf []T) []T {
	b.mu.Lock()
	defer b.mu.Unlock()
	buf = append(buf[:0], b.items...)
	clear(b.items)
	b.items = b.items[:0]
	return buf
}

// Next waits for the next message.
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
