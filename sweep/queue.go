package sweep

import "time"

// queue orders items by time, and by arrival within the same time. The zero
// value is empty.
type queue[T any] struct {
	heap []queued[T]
	seq  uint64
}

type queued[T any] struct {
	at   time.Duration // since Epoch
	seq  uint64
	item T
}

func (a *queued[T]) before(b *queued[T]) bool {
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}

func (q *queue[T]) push(at time.Duration, item T) {
	q.seq++
	q.heap = append(q.heap, queued[T]{at, q.seq, item})
	for i := len(q.heap) - 1; i > 0; {
		p := (i - 1) / 2
		if !q.heap[i].before(&q.heap[p]) {
			return
		}
		q.heap[i], q.heap[p] = q.heap[p], q.heap[i]
		i = p
	}
}

// pop takes the first item out; the queue must not be empty.
func (q *queue[T]) pop() (time.Duration, T) {
	first := q.heap[0]
	n := len(q.heap) - 1
	q.heap[0] = q.heap[n]
	q.heap[n] = queued[T]{}
	q.heap = q.heap[:n]
	for i := 0; ; {
		c := 2*i + 1
		if c >= n {
			break
		}
		if c+1 < n && q.heap[c+1].before(&q.heap[c]) {
			c++
		}
		if !q.heap[c].before(&q.heap[i]) {
			break
		}
		q.heap[i], q.heap[c] = q.heap[c], q.heap[i]
		i = c
	}
	return first.at, first.item
}
