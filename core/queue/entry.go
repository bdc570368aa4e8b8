package queue

import "time"

// Entry is one request that waits. An Entry belongs to at most one Queue.
type Entry[T any] struct {
	// Value is what the caller of Push keeps with the request.
	Value T
	// Account is the name of the client account.
	Account string
	// Tier is the tier of the service class.
	Tier int
	// Arrived is when the request arrived; it keeps it when it is pushed again.
	Arrived time.Time

	// StartDeadline is when the request cannot be served in time any more. Fresh
	// requests of a class go before others.
	StartDeadline time.Time

	// asked says that the entry was pushed before; unusual, that its client
	// account asked for more than usual then.
	asked, unusual bool
	// owner is the lane that holds the entry, nil while it does not wait.
	owner *lane[T]
	// inLane links the entries of a client account.
	inLane links[T]
	// inClass links the fresh or the late entries of a service class.
	inClass links[T]
}

// Waiting reports whether the entry is in a queue.
func (e *Entry[T]) Waiting() bool { return e.owner != nil }

// links are an entry's neighbours in one list.
type links[T any] struct {
	prev, next *Entry[T]
}

// list is a doubly linked list of entries in the order of arrival. The links
// stand in the entries, so that it allocates nothing.
type list[T any] struct {
	head, tail *Entry[T]
	// of returns the links of an entry that this list uses.
	of func(*Entry[T]) *links[T]
}

// insert puts an entry behind the last one that arrived no later. The search
// from both ends is short for new entries, which belong at the tail, and for
// those that are pushed again, which belong near the head.
func (l *list[T]) insert(e *Entry[T]) {
	before, after := l.head, l.tail
	for after != nil && after.Arrived.After(e.Arrived) {
		if before.Arrived.After(e.Arrived) {
			after = l.of(before).prev
			break
		}
		before = l.of(before).next
		after = l.of(after).prev
	}
	links := l.of(e)
	links.prev = after
	if after == nil {
		links.next = l.head
		l.head = e
	} else {
		links.next = l.of(after).next
		l.of(after).next = e
	}
	if links.next == nil {
		l.tail = e
		return
	}
	l.of(links.next).prev = e
}

// remove takes an entry out of the list that holds it.
func (l *list[T]) remove(e *Entry[T]) {
	links := l.of(e)
	if links.prev == nil {
		l.head = links.next
	} else {
		l.of(links.prev).next = links.next
	}
	if links.next == nil {
		l.tail = links.prev
	} else {
		l.of(links.next).prev = links.prev
	}
	links.prev, links.next = nil, nil
}

func laneLinks[T any](e *Entry[T]) *links[T] { return &e.inLane }

func classLinks[T any](e *Entry[T]) *links[T] { return &e.inClass }
