package idempotency

import (
	"cmp"
	"slices"
	"time"

	"github.com/lentilpick/lentilpick/types"
)

// Claim is one attempt by one daemon to run the request of a key.
type Claim struct {
	Key     Key
	Attempt string
	// Digest is the hash of the request.
	Digest uint64

	// Verdict is VerdictPending until the claim is resolved.
	Verdict Verdict
	// Response is set if Verdict is VerdictCompleted.
	Response *Response

	// intentIssued is true once the caller was told to append an intent, and
	// intentRead once that intent was read from the stream.
	intentIssued bool
	intentRead   bool
	// sequence orders the claims by when they were opened.
	sequence uint64
}

// Intent returns the record that claims the key.
func (c *Claim) Intent() Record {
	return Record{Kind: KindIntent, Key: c.Key, Attempt: c.Attempt, Digest: c.Digest}
}

// Claims is a Table together with the claims that wait for a verdict. It is not
// safe for concurrent use.
//
// A claim is evaluated only when the stream has been read to its end, with one
// exception: an attempt whose own intent was read may run, because the table
// then includes all records before that intent.
type Claims struct {
	*Table
	waiting      map[string][]*Claim // by attempt
	lastSequence uint64
	atEnd        bool
	// needHomes is true once a claim has to wait for the first Homes record.
	needHomes bool
}

// NewClaims returns a Claims with an empty table and no waiting claims.
func NewClaims(s Settings) *Claims {
	return &Claims{Table: NewTable(s), waiting: map[string][]*Claim{}}
}

// AtEnd reports whether the last read reached the end of the stream.
func (c *Claims) AtEnd() bool { return c.atEnd }

// NeedHomes reports whether claims wait for a record of KindHomes, so that the
// caller should append one.
func (c *Claims) NeedHomes() bool { return c.needHomes && c.homes == nil }

// Open adds a claim and returns true if the caller must append the claim's intent.
func (c *Claims) Open(cl *Claim, now time.Time) bool {
	c.lastSequence++
	cl.sequence = c.lastSequence
	appendIntent := c.resolveClaim(cl, now)
	if cl.Verdict == VerdictPending {
		c.waiting[cl.Attempt] = append(c.waiting[cl.Attempt], cl)
	}
	return appendIntent
}

// Close removes a claim whose caller no longer waits. If the claim has no verdict
// and another attempt for its key is in progress, it gets VerdictInProgress.
func (c *Claims) Close(cl *Claim, now time.Time) {
	c.remove(cl)
	if cl.Verdict != VerdictPending || !c.atEnd {
		return
	}
	if v, _ := c.Evaluate(cl.Key, cl.Attempt, cl.Digest, now); v == VerdictInProgress {
		cl.Verdict = v
	}
}

func (c *Claims) remove(cl *Claim) {
	rest := slices.DeleteFunc(c.waiting[cl.Attempt], func(v *Claim) bool { return v == cl })
	if len(rest) == 0 {
		delete(c.waiting, cl.Attempt)
		return
	}
	c.waiting[cl.Attempt] = rest
}

// Apply applies the records at offset o like Table.Apply, and marks the waiting
// claims whose intents are among them.
func (c *Claims) Apply(o types.Offset, at time.Time, records []Record) error {
	if err := c.Table.Apply(o, at, records); err != nil {
		return err
	}
	for i := range records {
		if records[i].Kind != KindIntent {
			continue
		}
		for _, cl := range c.waiting[records[i].Attempt] {
			cl.intentRead = true
		}
	}
	return nil
}

// SkipExpired continues at oldest like Table.SkipExpired. No claim is evaluated
// until the stream has been read to its end again.
func (c *Claims) SkipExpired(oldest types.Offset) {
	c.atEnd = false
	c.Table.SkipExpired(oldest)
}

// Resolve evaluates the waiting claims after a read; end is the offset that the
// next appended record will get. It returns the claims that now have a verdict,
// which it removes, and the claims whose intents the caller must append, each in
// the order of Open.
func (c *Claims) Resolve(end types.Offset, now time.Time) (resolved, intents []*Claim) {
	c.atEnd = c.next >= end
	for _, list := range c.waiting {
		for _, cl := range list {
			if c.resolveClaim(cl, now) {
				intents = append(intents, cl)
			}
			if cl.Verdict != VerdictPending {
				resolved = append(resolved, cl)
			}
		}
	}
	for _, cl := range resolved {
		c.remove(cl)
	}
	slices.SortFunc(resolved, bySequence)
	slices.SortFunc(intents, bySequence)
	return resolved, intents
}

func bySequence(a, b *Claim) int { return cmp.Compare(a.sequence, b.sequence) }

// resolveClaim sets the verdict of a claim if it can be decided, and returns true
// if the caller must append the claim's intent.
func (c *Claims) resolveClaim(cl *Claim, now time.Time) bool {
	v, response := c.Evaluate(cl.Key, cl.Attempt, cl.Digest, now)
	switch {
	case v == VerdictRun:
		cl.Verdict = v
	case !c.atEnd || v == VerdictInProgress:
		// Wait until the stream has been read to its end, or the other attempt ends.
	case v != VerdictPending:
		cl.Verdict, cl.Response = v, response
	case c.homes == nil && c.settings.Home != nil:
		c.needHomes = true
	case c.Moved(cl.Key, now):
		cl.Verdict = VerdictMoved
	case !cl.intentIssued || cl.intentRead:
		// An intent that was read while another attempt was in progress had no
		// effect. The key is free again, so the claim needs a new intent.
		cl.intentIssued, cl.intentRead = true, false
		return true
	}
	return false
}
