// Package jsonsplit decodes successive versions of a JSON document at the cost of the array
// elements that have changed. It splits a document at the elements of arrays and reuses the
// decoded values of those that the document before has as well, byte for byte.
package jsonsplit

import (
	"slices"
	"strings"
)

// Elements are the decoded elements of an array of one document. They are immutable. The zero
// value is an empty array. Only copies of the elements' bytes are retained, not the document.
type Elements[T any] struct {
	raw    []string
	values []T
}

// Values returns the decoded elements. The slice must not be changed.
func (e *Elements[T]) Values() []T { return e.values }

// Array collects the elements of one array of a document. It is used for one document and is not
// safe for concurrent use.
type Array[T any] struct {
	name   string
	decode func(element []byte) (T, error)
	// earlier are the elements of the document before. The element at next is expected next.
	earlier *Elements[T]
	next    int
	current Elements[T]
	misses  int
	// index holds the positions of the earlier elements. It is built after maxMisses.
	index map[string]int
}

const (
	// searchedElements is the number of earlier elements that are compared with an element.
	searchedElements = 8
	// maxMisses is the number of elements without an equal earlier one after which an index of all
	// earlier elements is built. Single changes do without the index.
	maxMisses = 8
)

// NewArray returns the array with the given key. The earlier elements may be nil; decode
// decodes an element and must not retain its bytes.
func NewArray[T any](name string, earlier *Elements[T], decode func(element []byte) (T, error)) *Array[T] {
	if earlier == nil {
		earlier = &Elements[T]{}
	}
	return &Array[T]{name: name, decode: decode, earlier: earlier, current: Elements[T]{
		raw: make([]string, 0, len(earlier.raw)), values: make([]T, 0, len(earlier.raw)),
	}}
}

// Elements returns the elements of the document that was split.
func (a *Array[T]) Elements() Elements[T] { return a.current }

func (a *Array[T]) key() string { return a.name }

// add decodes the element at the beginning of b and returns its length, or 0 if it is not an object
// that can be decoded.
func (a *Array[T]) add(b []byte) int {
	// An object is not a prefix of another one, so an earlier element that b begins with is the
	// whole element.
	earlier := a.earlier.raw
	for i := a.next; i < min(a.next+searchedElements, len(earlier)); i++ {
		if r := earlier[i]; len(r) <= len(b) && string(b[:len(r)]) == r {
			return a.reuse(i)
		}
	}
	s := scanner{doc: b}
	if !s.at('{') || !s.skipValue() {
		return 0
	}
	b = b[:s.pos]
	if a.misses++; a.misses > maxMisses && len(earlier) > 0 {
		if i, ok := a.indexed(b); ok {
			return a.reuse(i)
		}
	}
	v, err := a.decode(b)
	if err != nil {
		return 0
	}
	a.current.raw = append(a.current.raw, string(b))
	a.current.values = append(a.current.values, v)
	return len(b)
}

func (a *Array[T]) reuse(i int) int {
	a.current.raw = append(a.current.raw, a.earlier.raw[i])
	a.current.values = append(a.current.values, a.earlier.values[i])
	a.next = i + 1
	return len(a.earlier.raw[i])
}

func (a *Array[T]) indexed(element []byte) (int, bool) {
	if a.index == nil {
		a.index = make(map[string]int, len(a.earlier.raw))
		for i, r := range a.earlier.raw {
			a.index[r] = i
		}
	}
	i, ok := a.index[string(element)]
	return i, ok
}

// Collector is an Array of any type.
type Collector interface {
	key() string
	add(b []byte) int
}

// Split passes the elements of the arrays, which are values of the document's outermost object, to
// their collectors. It returns the document with these arrays empty. Only if the rest is valid
// JSON is the document valid JSON, and equal to the rest with the elements.
//
// It reports false for a document whose meaning it cannot tell from that of its parts: one that has
// elements other than objects, an element that cannot be decoded, an array twice, or keys that
// encoding/json may take for that of an array.
func Split(doc []byte, arrays ...Collector) (rest []byte, ok bool) {
	s, copied := scanner{doc: doc}, 0
	var seen []string
	if !s.take('{') {
		return nil, false
	}
	for {
		key, ok := s.takeKey()
		if !ok || !s.take(':') {
			return nil, false
		}
		// encoding/json prefers equal keys and otherwise ignores case in the same way.
		i := slices.IndexFunc(arrays, func(a Collector) bool { return strings.EqualFold(a.key(), string(key)) })
		s.skipSpace()
		switch {
		case i < 0:
			if !s.skipValue() {
				return nil, false
			}
		case arrays[i].key() != string(key) || slices.Contains(seen, string(key)) || !s.take('['):
			return nil, false
		default:
			seen = append(seen, string(key))
			rest = append(rest, doc[copied:s.pos]...)
			if !s.takeElements(arrays[i]) {
				return nil, false
			}
			copied = s.pos
			s.pos++
		}
		if s.take('}') {
			return append(rest, doc[copied:]...), true
		}
		if !s.take(',') {
			return nil, false
		}
	}
}

// takeElements passes the elements of an array to its collector, up to the closing bracket.
func (s *scanner) takeElements(a Collector) bool {
	s.skipSpace()
	if s.at(']') {
		return true
	}
	for {
		s.skipSpace()
		n := a.add(s.doc[s.pos:])
		if n == 0 {
			return false
		}
		s.pos += n
		s.skipSpace()
		if s.at(']') {
			return true
		}
		if !s.take(',') {
			return false
		}
	}
}
