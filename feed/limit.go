package feed

const (
	// MaxReadKB bounds the records of one read, in KB. The store returns no more.
	MaxReadKB = 1024
	// minReadKB is the smallest limit of a read. It contains some hundred records of
	// registrations, and even a link of 10 Mbit/s transfers it within 60 ms.
	minReadKB = 64
	// maxRecordKB is the size of the largest record, a configuration of 4 MB, and its key.
	maxRecordKB = 4<<10 + 1
)

// ReadLimit determines how much one read of a source may return. A read that timed out asked
// for more than the link transfers in time, and would do so again: the limit is halved. It
// doubles with each read that succeeds.
type ReadLimit struct {
	kb int // 0 means MaxReadKB
}

// KB returns the limit of the next read, in KB.
func (l *ReadLimit) KB() int {
	if l.kb == 0 {
		return MaxReadKB
	}
	return l.kb
}

// TimedOut records a read that timed out.
func (l *ReadLimit) TimedOut() { l.kb = max(min(l.KB(), MaxReadKB)/2, minReadKB) }

// Succeeded records a read that returned what the limit allows.
func (l *ReadLimit) Succeeded() {
	if l.KB() < MaxReadKB {
		l.kb = min(2*l.KB(), MaxReadKB)
	}
}

// Fit limits the next read to about one record of the given size, in bytes. It is for sources
// with a single key, of which only the newest record counts: a daemon that does not know how much
// it has missed must not read all of it.
func (l *ReadLimit) Fit(record int) {
	const marginDivisor = 4 // a record is longer than the one before by a few entries
	kb := record >> 10
	l.kb = min(max(kb+kb/marginDivisor, minReadKB), maxRecordKB)
}

// TooSmall records a read that returned no record because the next one is larger than the
// limit. It raises the limit, and reports false if a record of that size is not legal. A limit
// above MaxReadKB stays, as the records that follow are about as large.
func (l *ReadLimit) TooSmall() bool {
	if l.KB() >= maxRecordKB {
		l.kb = 0
		return false
	}
	l.kb = min(2*l.KB(), maxRecordKB)
	return true
}
