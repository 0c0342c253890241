package node

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/feed"
)

// The blocks of prompt parts are recorded in the store, because the exchange between nodes
// loses them when all nodes restart: each further block would cost several engines again.

const (
	// blocksTopic is the keyed topic with one record for each blocked part.
	blocksTopic = "lentilpick-blocks"
	// blockQueueLength bounds the changes that wait to be recorded.
	blockQueueLength = 256
	// blockRetryInterval is the time between two attempts to read or write records.
	blockRetryInterval = 500 * time.Millisecond
	// maxRecordTime bounds the attempts to write one record: the length of a first block.
	maxRecordTime = time.Minute
)

// blockRecord is the record of a blocked part. Its key is the ID of the part.
type blockRecord struct {
	part uint64
	// Blocks is the number of blocks of the part so far.
	Blocks int `json:"blocks"`
}

// decodeBlock decodes the record of a blocked part.
func decodeBlock(key string, value []byte) (blockRecord, error) {
	part, err := strconv.ParseUint(key, 16, 64)
	if err != nil {
		return blockRecord{}, fmt.Errorf("key %.60q is not the ID of a prompt part: %w", key, err)
	}
	r := blockRecord{part: part}
	return r, json.Unmarshal(value, &r)
}

// blockChange is a change of a block: its number of blocks, or 0 when the block has ended.
type blockChange struct {
	part   uint64
	blocks int
}

// record queues a change. It drops it when the queue is full: the record is then missing or
// blocks its part for some time after a restart.
func (d *crashDetector) record(c blockChange) {
	if c.blocks > 0 {
		d.recorded[c.part] = struct{}{}
	} else {
		delete(d.recorded, c.part)
	}
	select {
	case d.blocks <- c:
	default:
	}
}

// recordBlocks writes the queued changes to the store until the context ends.
func (d *crashDetector) recordBlocks(ctx context.Context, s memberStore) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-d.blocks:
			d.writeBlock(ctx, s, c)
		}
	}
}

func (d *crashDetector) writeBlock(ctx context.Context, s memberStore, c blockChange) {
	ctx, cancel := context.WithTimeout(ctx, maxRecordTime)
	defer cancel()
	var value []byte // none removes the record
	if c.blocks > 0 {
		var err error
		if value, err = json.Marshal(blockRecord{Blocks: c.blocks}); err != nil {
			d.log.WithError(err).Error("block of a prompt part could not be encoded")
			return
		}
	}
	for {
		err := s.Put(ctx, blocksTopic, formatPart(c.part), value)
		if err == nil {
			return
		}
		d.log.WithError(err).WithField(fieldPart, formatPart(c.part)).Debug("failed to record the block of a prompt part")
		if !daemon.Sleep(ctx, blockRetryInterval) {
			return
		}
	}
}

// restoreBlocks takes over the recorded blocks. It retries until the store responds or the
// context ends.
func (d *crashDetector) restoreBlocks(ctx context.Context, source feed.Source[blockRecord]) {
	for {
		l, err := source.List(ctx)
		if err == nil {
			for _, i := range l.Items {
				d.restore(i)
			}
			return
		}
		if !daemon.Sleep(ctx, blockRetryInterval) {
			return
		}
	}
}

func (d *crashDetector) restore(i feed.Item[blockRecord]) {
	switch {
	case i.Err != nil:
		d.log.WithError(i.Err).WithFields(logrus.Fields{fieldKey: i.Key}).Error("block of a prompt part could not be decoded; skipped")
	case i.Value != nil:
		d.guard.Restore(i.Value.part, i.Value.Blocks, clock.Now())
	}
}
