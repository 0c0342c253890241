package idempotency

import (
	"cmp"
	"slices"
	"time"

	"github.com/lentilpick/lentilpick/types"
)

// Claim is one daemon's request to run a key. Its Verdict stays
// VerdictPending until it is settled.
type Claim struct {
	Key     Key
	Attempt string
	Digest  uint64

	Verdict  Verdict
	Response *Response

	// appended says that an intent was handed out, seen that it was read back.
	appended bool
	seen     bool
	// order is the order in which claims were opened.
	order uint64
}

// Intent returns the record that claims the key.
func (c *Claim) Intent() Record {
	return Record{Kind: KindIntent, Key: c.Key, Attempt: c.Attempt, Digest: c.Digest}
}

// Claims is a table together with the claims that wait for a verdict. It is
// not safe for concurrent use.
//
// A claim is judged only by a table that has read the stream to its end, with
// one exception: an attempt whose own intent was read back may run, because the
// table then holds every record before that intent.
type Claims struct {
	*Table
	waiting map[string][]*Claim // by attempt
	opened  uint64
	atEnd   bool
	// needHomes says that a claim waits for the first Homes record.
	needHomes bool
}

// NewClaims returns an empty table without claims.
func NewClaims(s Settings) *Claims {
	return &Claims{Table: NewTable(s), waiting: map[string][]*Claim{}}
}

// AtEnd reports whether the stream was read to its end at the last read.
func (c *Claims) AtEnd() bool { return c.atEnd }

// NeedHomes reports whether claims wait for a record of KindHomes.
func (c *Claims) NeedHomes() bool { return c.needHomes && c.homes == nil }

// Open adds a claim. It returns true when the claim's intent has to be appended.
func (c *Claims) Open(cl *Claim, now time.Time) bool {
	c.opened++
	cl.order = c.opened
	appendIntent := c.judge(cl, now)
	if cl.Verdict == VerdictPending {
		c.waiting[cl.Attempt] = append(c.waiting[cl.Attempt], cl)
	}
	return appendIntent
}

// Close removes a claim whose caller does not wait any longer. A claim that
// has no verdict but whose key is held by another attempt gets
// VerdictInProgress.
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

// Apply folds the records at offset o, as Table.Apply does.
func (c *Claims) Apply(o types.Offset, at time.Time, records []Record) error {
	if err := c.Table.Apply(o, at, records); err != nil {
		return err
	}
	for i := range records {
		if records[i].Kind != KindIntent {
			continue
		}
		for _, cl := range c.waiting[records[i].Attempt] {
			cl.seen = true
		}
	}
	return nil
}

// Restart continues at oldest, as Table.Restart does.
func (c *Claims) SkipExpired(oldest types.Offset) {
	c.atEnd = false
	c.Table.SkipExpired(oldest)
}

// Settle judges the waiting claims after a read; end is the offset that the
// next appended record will get. It returns the claims that now have a verdict
// and those whose intent has to be appended, in the order of Open.
func (c *Claims) Resolve(end types.Offset, now time.Time) (settled, intents []*Claim) {
	c.atEnd = c.next >= end
	for _, list := range c.waiting {
		for _, cl := range list {
			if c.judge(cl, now) {
				intents = append(intents, cl)
			}
			if cl.Verdict != VerdictPending {
				settled = append(settled, cl)
			}
		}
	}
	for _, cl := range settled {
		c.remove(cl)
	}
	slices.SortFunc(settled, byOrder)
	slices.SortFunc(intents, byOrder)
	return settled, intents
}

func byOrder(a, b *Claim) int { return cmp.Compare(a.order, b.order) }

// judge sets the verdict of a claim if there is one, and returns true when the
// claim's intent has to be appended.
func (c *Claims) judge(cl *Claim, now time.Time) bool {
	v, answer := c.Evaluate(cl.Key, cl.Attempt, cl.Digest, now)
	switch {
	case v == VerdictRun:
		cl.Verdict = v
	case !c.atEnd || v == VerdictInProgress:
		// Waits for the end of the stream, or for the end of the other attempt.
	case v != VerdictPending:
		cl.Verdict, cl.Response = v, answer
	case c.homes == nil && c.settings.Home != nil:
		c.needHomes = true
	case c.Moved(cl.Key, now):
		cl.Verdict = VerdictMoved
	case !cl.appended || cl.seen:
		// An intent that was read back while another attempt held the key has
		// lost; the key is free again, so that it needs a new one.
		cl.appended, cl.seen = true, false
		return true
	}
	return false
}
