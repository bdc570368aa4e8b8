package queue

import "time"

// Entry is a waiting request. An Entry belongs to at most one Queue at a time.
type Entry[T any] struct {
	// Value is the value that the caller of Push attached to the request.
	Value T
	// Account is the name of the client account.
	Account string
	// Tier is the tier of the service class.
	Tier int
	// Arrived is when the request arrived. It stays the same when the entry is
	// pushed again.
	Arrived time.Time

	// StartDeadline is the time after which the request can no longer be served
	// on time. Within a class, requests before their start deadline go first.
	StartDeadline time.Time

	// counted states that the entry was pushed before, so that it is not
	// counted again; surging, that its client account sent more requests than
	// usual when it was first pushed.
	counted, surging bool
	// subqueue holds the entry; it is nil while the entry does not wait.
	subqueue *subqueue[T]
	// inSubqueue links the entries of one subqueue.
	inSubqueue links[T]
	// inClass links the on-time or the late entries of a service class.
	inClass links[T]
}

// Waiting reports whether the entry is in a queue.
func (e *Entry[T]) Waiting() bool { return e.subqueue != nil }

// links point to the neighbors of an entry in one list.
type links[T any] struct {
	prev, next *Entry[T]
}

// list is a doubly linked list of entries in order of arrival. The links are
// fields of the entries, so that the list does not allocate.
type list[T any] struct {
	head, tail *Entry[T]
	// linksOf returns the links of an entry that this list uses.
	linksOf func(*Entry[T]) *links[T]
}

// insert adds an entry after the last one that arrived no later. The search
// runs from both ends at once: it is short for new entries, which belong near
// the tail, and for entries that are pushed again, which belong near the head.
func (l *list[T]) insert(e *Entry[T]) {
	before, after := l.head, l.tail
	for after != nil && after.Arrived.After(e.Arrived) {
		if before.Arrived.After(e.Arrived) {
			after = l.linksOf(before).prev
			break
		}
		before = l.linksOf(before).next
		after = l.linksOf(after).prev
	}
	links := l.linksOf(e)
	links.prev = after
	if after == nil {
		links.next = l.head
		l.head = e
	} else {
		links.next = l.linksOf(after).next
		l.linksOf(after).next = e
	}
	if links.next == nil {
		l.tail = e
		return
	}
	l.linksOf(links.next).prev = e
}

// remove removes an entry, which must be in the list.
func (l *list[T]) remove(e *Entry[T]) {
	links := l.linksOf(e)
	if links.prev == nil {
		l.head = links.next
	} else {
		l.linksOf(links.prev).next = links.next
	}
	if links.next == nil {
		l.tail = links.prev
	} else {
		l.linksOf(links.next).prev = links.prev
	}
	links.prev, links.next = nil, nil
}

func subqueueLinks[T any](e *Entry[T]) *links[T] { return &e.inSubqueue }

func classLinks[T any](e *Entry[T]) *links[T] { return &e.inClass }
