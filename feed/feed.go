// Package feed follows a keyed feed of the store: it lists the newest record of each key
// and then reads changes. It retries after outages and lists again when records have
// expired.
package feed

import (
	"context"
	"errors"
	"time"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/types"
)

// ErrExpired reports that the store no longer has the requested records, so that the
// keys have to be listed again.
var ErrExpired = errors.New("records have expired")

// ErrUnusable reports that a record from another daemon cannot be decoded. The same
// record has to be read from the source instead.
var ErrUnusable = errors.New("record from another daemon cannot be decoded")

// ErrUnsupported reports that a source does not support ReadNewest.
var ErrUnsupported = errors.New("source does not support reading the newest records only")

// ErrMore reports that a read returned only the first of the records that the source has. It
// comes with these records, and the next offset is beyond the one to read from.
var ErrMore = errors.New("source has more records than the read has returned")

// Item is the newest record of one key.
type Item[T any] struct {
	Key string
	// Next is the offset after the record.
	Next types.Offset
	// Value is nil when the key was removed, and for a record that was skipped.
	Value *T
	// Raw is the encoded value as stored in the source, empty when the key was removed.
	Raw []byte
	// Err is the decoding error of the record, if any. Value is nil in this case,
	// although the key was not removed.
	Err error
	// Skipped reports that the record was not decoded, because a newer one of its key in the
	// same response replaces it.
	Skipped bool
}

// Listing contains the newest record of each key.
type Listing[T any] struct {
	Items []Item[T]
	// Era is the era of the offsets, 0 if the source has not stated one.
	Era types.Era
	// Next is the offset from which to read changes.
	Next types.Offset
	// Age is the time since the listing was current, 0 if it comes from the store.
	Age time.Duration
}

// Source reads keyed records of one type.
type Source[T any] interface {
	// List returns the newest records of all keys.
	List(ctx context.Context) (Listing[T], error)
	// Read returns the changes from a position on and the next offset to read from. If
	// there are none, it waits for at most wait. The error wraps ErrExpired when records
	// from that offset on have expired, or the source is in another era. It is ErrMore if
	// the source has further records.
	Read(ctx context.Context, from types.Position, wait time.Duration) ([]Item[T], types.Offset, error)
	// ReadNewest returns the newest record of each key that has changed from a position on, and
	// the next offset to read from. It does not return records that a newer one of their key has
	// replaced, and does not wait. The error wraps ErrUnsupported if keys of the feed may be
	// removed, which the newest records do not show, and ErrExpired as for Read.
	ReadNewest(ctx context.Context, from types.Position) ([]Item[T], types.Offset, error)
	// DecodeRecord decodes a record that another daemon has read. The error wraps
	// ErrUnusable if the record has to be read from the source instead.
	DecodeRecord(r Record) (Item[T], error)
}

// Handler processes the records of a feed. Its methods are called from the goroutine
// that runs Follow.
type Handler[T any] interface {
	// HandleListing replaces all items by those of a listing. outage is the length of the
	// outage of the source that this call has ended, 0 if there was none. A change of the era
	// is the end of an outage.
	HandleListing(l Listing[T], outage time.Duration)
	// HandleChanges applies items that were read from the source and returns those that are
	// relevant to other daemons, in order. outage is as in HandleListing.
	HandleChanges(items []Item[T], outage time.Duration) []Item[T]
	// HandlePeerUpdate processes items that another daemon has read. outage is the length
	// of the current outage of the source for this daemon, 0 if it can read the source.
	HandlePeerUpdate(items []Item[T], outage time.Duration)
	// HandleFailure is called after each failed call, with the time since the first of
	// the consecutive failed calls began.
	HandleFailure(err error, outage time.Duration)
}

// Record is an encoded record of the source.
type Record struct {
	Key   string
	Value []byte
	// Next is the offset after the record.
	Next types.Offset
	// DeltaBase, if not 0, indicates that Value is a delta to the record of the same key
	// whose Next is DeltaBase.
	DeltaBase types.Offset
}

// Update contains all relevant records between two offsets, as another daemon has read
// them.
type Update struct {
	// Era is the era of the offsets, 0 if the other daemon has not stated one.
	Era types.Era
	// Records contains every relevant record from offset Since on, and Next is the
	// offset after the last of them.
	Since, Next types.Offset
	Records     []Record
}

// ReadResult describes a successful call to the source.
type ReadResult struct {
	// AsOf is the earliest time at which the source can have evaluated the call: the end
	// of the source was at Next then or later.
	AsOf clock.Instant
	// Era is the era of the offsets.
	Era types.Era
	// Next is the offset after the last record that was read.
	Next types.Offset
	// Changed is the offset after the last record that HandleChanges has returned, 0 if it
	// returned none. It is 0 for a list, which does not show what has changed.
	Changed types.Offset
	// Listed reports whether the call was a list.
	Listed bool
	// Duration is the time that a read with records took, 0 for other calls.
	Duration time.Duration
}

// CallReason is the reason for a call to the source.
type CallReason uint8

// Reasons for calls, in the order of callReasonNames.
const (
	// CallList lists all keys: at the start, or because records have expired.
	CallList CallReason = iota
	// CallDue is a read that is due according to the schedule.
	CallDue
	// CallWoken is a read after a wake: another daemon has read a change.
	CallWoken
	// CallRetry repeats a failed read.
	CallRetry
	// CallReasonCount is the number of reasons, not a reason itself.
	CallReasonCount
)

var callReasonNames = [CallReasonCount]string{"list", "due", "change", "retry"}

// String returns the name used in metrics.
func (r CallReason) String() string { return callReasonNames[r] }

// CallResult describes a completed call to the source.
type CallResult struct {
	Reason CallReason
	// Duration is the time from the start of the call to its end.
	Duration time.Duration
	// Records is the number of records that the call returned, and Bytes the size of their
	// encoded values. Both are 0 after an error.
	Records, Bytes int
	// Skipped is the number of records between From and Next that were not decoded or, if
	// Newest is set, not requested. The latter include those of other keys.
	Skipped int
	// Newest reports whether the call requested the newest records only.
	Newest bool
	// From is the offset from which the call read, 0 for a list. Next is the offset from which
	// the next call reads.
	From, Next types.Offset
	// Err is nil if the call succeeded. It wraps ErrExpired if the keys have to be listed.
	Err error
}

// Schedule determines when Follow reads, and connects it to the reads of other daemons.
type Schedule struct {
	// Now returns the time; nil means clock.Now.
	Now func() clock.Instant
	// Due returns how long to wait before the next read, 0 to read now, and how long the
	// read may wait for changes. It is called again after the pause.
	Due func(now clock.Instant) (pause, wait time.Duration)
	// OnCall, if not nil, is called before each call to the source.
	OnCall func(CallReason)
	// OnResult, if not nil, is called after each call to the source, before its records are
	// handled.
	OnResult func(CallResult)
	// OnRead, if not nil, is called after each successful call.
	OnRead func(ReadResult)
	// MinPause and MaxPause bound the pause after a failed call, which doubles with each
	// consecutive failure.
	MinPause time.Duration
	MaxPause func() time.Duration
	// Wake, if not nil, ends the pause before a read early.
	Wake <-chan struct{}
	// Era, if not nil, returns the newest known era of the source. Follow lists the keys again before
	// the next read if they were listed in an earlier one.
	Era func() types.Era
	// Known, if not nil, returns the offset up to which, by the claims of other daemons, the
	// source has records.
	Known func() types.Offset
	// FetchMissing, if not nil, fetches the changes from a position on from another daemon. It is
	// called only if Known is beyond that offset.
	FetchMissing func(ctx context.Context, from types.Position) (Update, error)
	// PeerUpdates, if not nil, delivers what other daemons have read. An update that starts
	// after the offset that is applied is reported to OnMissed.
	PeerUpdates <-chan Update
	// OnApplied, if not nil, is called after an update from PeerUpdates was applied, and
	// OnMissed, if not nil, when one could not be used. next is the offset up to which all
	// records are applied.
	OnApplied, OnMissed func(next types.Offset)
}
