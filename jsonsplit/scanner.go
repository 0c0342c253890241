package jsonsplit

// scanner finds the ends of values. For valid JSON they are right; it does not validate.
type scanner struct {
	doc []byte
	pos int
}

// at reports whether the byte at the position is c.
func (s *scanner) at(c byte) bool { return s.pos < len(s.doc) && s.doc[s.pos] == c }

func (s *scanner) skipSpace() {
	for s.at(' ') || s.at('\n') || s.at('\t') || s.at('\r') {
		s.pos++
	}
}

// take skips space and c. It reports false if another byte follows the space.
func (s *scanner) take(c byte) bool {
	s.skipSpace()
	if !s.at(c) {
		return false
	}
	s.pos++
	return true
}

// takeKey returns a key. It reports false for keys with escapes.
func (s *scanner) takeKey() (key []byte, ok bool) {
	if !s.take('"') {
		return nil, false
	}
	for start := s.pos; s.pos < len(s.doc); s.pos++ {
		switch c := s.doc[s.pos]; {
		case c == '"':
			s.pos++
			return s.doc[start : s.pos-1], true
		case c == '\\':
			return nil, false
		}
	}
	return nil, false
}

// skipString skips a string whose opening quote is at the position.
func (s *scanner) skipString() bool {
	for s.pos++; s.pos < len(s.doc); s.pos++ {
		switch s.doc[s.pos] {
		case '\\':
			s.pos++
		case '"':
			s.pos++
			return true
		}
	}
	return false
}

// maxDepth bounds the nesting of a value, because encoding/json has a bound for whole documents.
const maxDepth = 100

// skipValue skips a value that begins at the position.
func (s *scanner) skipValue() bool {
	for depth := 0; s.pos < len(s.doc); {
		switch s.doc[s.pos] {
		case '"':
			if !s.skipString() {
				return false
			}
			if depth == 0 {
				return true
			}
			continue
		case '{', '[':
			if depth++; depth > maxDepth {
				return false
			}
		case '}', ']':
			if depth == 0 { // the end of the enclosing object, after a number or literal
				return true
			}
			if depth--; depth == 0 {
				s.pos++
				return true
			}
		case ',':
			if depth == 0 {
				return true
			}
		}
		s.pos++
	}
	return false
}
