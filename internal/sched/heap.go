package sched

// heapItem is a value in a heap with its key.
type heapItem[T any] struct {
	key   float64
	tie   uint64
	value T
}

// heap is a binary min-heap that reports each value's position through onMove, so any
// value can be moved or removed in logarithmic time. Equal keys are ordered by tie. It
// allocates only when it outgrows its capacity.
type heap[T any] struct {
	items  []heapItem[T]
	onMove func(value T, position int)
}

// notInHeap is the position of a value that is in no heap.
const notInHeap = -1

func (h *heap[T]) len() int { return len(h.items) }

func (h *heap[T]) min() *heapItem[T] { return &h.items[0] }

func (h *heap[T]) push(key float64, tie uint64, value T) {
	h.items = append(h.items, heapItem[T]{key, tie, value})
	h.up(len(h.items) - 1)
}

func (h *heap[T]) remove(i int) {
	last := len(h.items) - 1
	h.onMove(h.items[i].value, notInHeap)
	moving := h.items[last]
	h.items[last] = heapItem[T]{}
	h.items = h.items[:last]
	if i == last {
		return
	}
	h.items[i] = moving
	h.fix(i)
}

func (h *heap[T]) update(i int, key float64, tie uint64) {
	h.items[i].key = key
	h.items[i].tie = tie
	h.fix(i)
}

func (h *heap[T]) fix(i int) {
	if !h.down(i) {
		h.up(i)
	}
}

func (h *heap[T]) less(a, b *heapItem[T]) bool {
	if a.key != b.key {
		return a.key < b.key
	}
	return a.tie < b.tie
}

func (h *heap[T]) up(i int) {
	item := h.items[i]
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(&item, &h.items[parent]) {
			break
		}
		h.put(i, h.items[parent])
		i = parent
	}
	h.put(i, item)
}

func (h *heap[T]) down(start int) bool {
	i := start
	item := h.items[i]
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			break
		}
		if right := child + 1; right < len(h.items) && h.less(&h.items[right], &h.items[child]) {
			child = right
		}
		if !h.less(&h.items[child], &item) {
			break
		}
		h.put(i, h.items[child])
		i = child
	}
	h.put(i, item)
	return i > start
}

func (h *heap[T]) put(i int, item heapItem[T]) {
	h.items[i] = item
	h.onMove(item.value, i)
}
