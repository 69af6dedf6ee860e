package policy

// orderedHeap is a binary heap whose first item is the least by less.
type orderedHeap[T any] struct {
	items []T
	less  func(a, b T) bool
}

func (h *orderedHeap[T]) len() int { return len(h.items) }

// top returns the first item; the heap must not be empty.
func (h *orderedHeap[T]) top() T { return h.items[0] }

func (h *orderedHeap[T]) push(x T) {
	h.items = append(h.items, x)
	i := len(h.items) - 1
	for i > 0 {
		up := (i - 1) / 2
		if !h.less(h.items[i], h.items[up]) {
			break
		}
		h.items[i], h.items[up] = h.items[up], h.items[i]
		i = up
	}
}

// pop removes and returns the first item; the heap must not be empty.
func (h *orderedHeap[T]) pop() T {
	first := h.items[0]
	last := h.popLeaf()
	if len(h.items) == 0 {
		return first
	}
	h.items[0] = last
	for i := 0; ; {
		low := 2*i + 1
		if low >= len(h.items) {
			break
		}
		if low+1 < len(h.items) && h.less(h.items[low+1], h.items[low]) {
			low++
		}
		if !h.less(h.items[low], h.items[i]) {
			break
		}
		h.items[i], h.items[low] = h.items[low], h.items[i]
		i = low
	}
	return first
}

// popLeaf removes and returns an item without children; the heap must not be empty.
func (h *orderedHeap[T]) popLeaf() T {
	var none T
	last := h.items[len(h.items)-1]
	h.items[len(h.items)-1] = none
	h.items = h.items[:len(h.items)-1]
	return last
}
