// Package pool recycles buffers of one size.
package pool

import "sync"

// Size is the capacity of a pooled buffer in bytes. It holds every body and result that the platform's protocol allows,
// with its framing.
const Size = 8 << 10

var buffers = sync.Pool{New: func() any { return new([Size]byte) }}

// Get returns a buffer of n bytes. Buffers larger than Size are rare; they are allocated and not pooled, so that all
// pooled buffers have one size.
func Get(n int) []byte {
	if n > Size {
		return make([]byte, n)
	}
	return buffers.Get().(*[Size]byte)[:n]
}

// smallBytes is the size up to which Copy returns memory of just that size.
const smallBytes = 512

// Copy returns a buffer with a copy of the bytes. Few bytes get memory of their own size, since thousands of requests with small
// bodies may wait at a time.
func Copy(b []byte) []byte {
	if len(b) <= smallBytes {
		return append(make([]byte, 0, len(b)), b...)
	}
	c := Get(len(b))
	copy(c, b)
	return c
}

// Put returns a buffer to the pool. The caller must not use any part of it afterwards.
func Put(b []byte) {
	if cap(b) == Size {
		buffers.Put((*[Size]byte)(b[:Size]))
	}
}
