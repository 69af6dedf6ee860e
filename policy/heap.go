package policy

// orderedHeap is a binary heap whose first item comes before all others by less.
type orderedHeap[T any] struct {
	items []T
	less  func(a, b T) bool
}

func (h *orderedHeap[T]) len() int { return len(h.items) }

// first returns the first item; the heap must not be empty.
func (h *orderedHeap[T]) first() T { return h.items[0] }

func (h *orderedHeap[T]) push(x T) {
	h.items = append(h.items, x)
	i := len(h.items) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			break
		}
		h.items[i], h.items[parent] = h.items[parent], h.items[i]
		i = parent
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
		child := 2*i + 1
		if child >= len(h.items) {
			break
		}
		if child+1 < len(h.items) && h.less(h.items[child+1], h.items[child]) {
			child++
		}
		if !h.less(h.items[child], h.items[i]) {
			break
		}
		h.items[i], h.items[child] = h.items[child], h.items[i]
		i = child
	}
	return first
}

// popLeaf removes and returns an item without children; the heap must not be empty.
func (h *orderedHeap[T]) popLeaf() T {
	var zero T
	last := h.items[len(h.items)-1]
	h.items[len(h.items)-1] = zero
	h.items = h.items[:len(h.items)-1]
	return last
}
