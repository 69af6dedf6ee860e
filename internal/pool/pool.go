// Package pool lends buffers of one size and takes them back.
package pool

import "sync"

// Size holds every body and result that the platform's protocol allows, with the words round them.
const Size = 8 << 10

var buffers = sync.Pool{New: func() any { return new([Size]byte) }}

// Get lends a buffer of n bytes. What is larger than the one size comes from the heap and goes back there:
// it is rare, and would keep the pool from having one size.
func Get(n int) []byte {
	if n > Size {
		return make([]byte, n)
	}
	return buffers.Get().(*[Size]byte)[:n]
}

// Copy lends a buffer that holds the same bytes.
func Copy(b []byte) []byte {
	c := Get(len(b))
	copy(c, b)
	return c
}

// Put takes a buffer back. The caller must not hold any part of it after.
func Put(b []byte) {
	if cap(b) == Size {
		buffers.Put((*[Size]byte)(b[:Size]))
	}
}
