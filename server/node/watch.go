package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

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
// those whose registrations have not come back after an outage.
func (n *Node) watch(ctx context.Context) {
	w := watcher{log: n.log, directory: n.directory, changed: n.share.NotifyLoadChange}
	for daemon.Sleep(ctx, watchInterval) {
		w.step(time.Now())
	}
}

// watcher looks at all targets now and then.
type watcher struct {
	log       *logrus.Entry
	directory *directory.Directory
	// changed tells the other nodes of a target.
	changed func(*directory.Target)
}

func (w *watcher) step(now time.Time) {
	// A node that does not read the store for a while has no other occasion.
	logChanges(w.log, w.directory.Expire(now))
	w.directory.Load().All(func(t *directory.Target) {
		was := t.Load.Suspected()
		if !t.Load.CheckActivity(now, silenceOf(t), suspectPause) {
			return
		}
		w.changed(t)
		if !was {
			w.log.WithField(daemon.FieldTarget, t.ID).WithField(daemon.FieldService, t.Service).Warn("target is silent")
		}
	})
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
