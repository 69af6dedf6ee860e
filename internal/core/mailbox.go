package core

import "sync"

// mailbox hands what happens to one goroutine, in order, and never makes a sender wait. What lies in one is
// bounded by its use: a life gets a few messages a call, the owner a few events for each open request.
type mailbox[T any] struct {
	mu    sync.Mutex
	items []T
	ready chan struct{}
}

func newMailbox[T any]() *mailbox[T] { return &mailbox[T]{ready: make(chan struct{}, 1)} }

func (b *mailbox[T]) put(x T) {
	b.mu.Lock()
	b.items = append(b.items, x)
	b.mu.Unlock()
	b.poke()
}

func (b *mailbox[T]) poke() {
	select {
	case b.ready <- struct{}{}:
	default:
	}
}

// take empties the box into buf.
func (b *mailbox[T]) take(buf []T) []T {
	b.mu.Lock()
	defer b.mu.Unlock()
	buf = append(buf[:0], b.items...)
	clear(b.items)
	b.items = b.items[:0]
	return buf
}

// next waits for the next message.
func (b *mailbox[T]) next() T {
	for {
		b.mu.Lock()
		if len(b.items) > 0 {
			x := b.items[0]
			b.items = b.items[1:]
			b.mu.Unlock()
			return x
		}
		b.mu.Unlock()
		<-b.ready
	}
}
