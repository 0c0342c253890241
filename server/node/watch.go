package node

import (
	"context"
	"time"

	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/types"
)

const (
	watchInterval = 200 * time.Millisecond
	// streamSilence is how long an engine that generates may be silent: several
	// times the users' longest pause between events of a stream, most of which
	// come far sooner.
	streamSilence = 600 * time.Millisecond
	// prefillSilence is the same for an engine that reads prompts: the users'
	// longest prompt takes about 1.2 s.
	prefillSilence = 1500 * time.Millisecond
	// plainSilence is the same for plain services, whose usual work takes 15 ms.
	plainSilence = 400 * time.Millisecond
	// suspectPause is how long a silent target gets no work.
	suspectPause = 700 * time.Millisecond
)

// watch takes targets out of use while they are silent on own requests, and
// tells the other nodes.
func (n *Node) watch(ctx context.Context) {
	for daemon.Sleep(ctx, watchInterval) {
		now := time.Now()
		n.directory.Load().All(func(t *directory.Target) {
			was := t.Load.Suspect()
			if !t.Load.Watch(now, silenceOf(t), suspectPause) {
				return
			}
			n.share.Changed(t)
			if !was {
				n.log.WithField(daemon.FieldTarget, t.ID).WithField(daemon.FieldService, t.Service).Warn("target is silent")
			}
		})
	}
}

func silenceOf(t *directory.Target) time.Duration {
	switch t.Role {
	case types.RolePrefill:
		return prefillSilence
	case types.RoleDecode:
		return streamSilence
	}
	return plainSilence
}
