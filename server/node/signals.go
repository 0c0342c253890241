package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/directory"
)

// signalLogRate is the maximum number of log lines per second about pauses that targets request.
const signalLogRate = 5

// targetSignals applies what targets report about themselves to the directory. It implements
// platform.SignalHandler.
//
// A pause binds only the node that was told to pause: the target has refused a request of this
// node, and the other nodes see from the exchanged load that it is full.
type targetSignals struct {
	log       *logrus.Entry
	counters  *counters
	directory *directory.Directory
	// notify publishes to the other nodes that a target is leaving.
	notify func(directory.Lifetime)
	// notifyLimit publishes that a target begins or ceases to declare a limit.
	notifyLimit func(*directory.Target)
	limit       lineLimit
}

func newTargetSignals(log *logrus.Entry, c *counters, d *directory.Directory, notify func(directory.Lifetime), notifyLimit func(*directory.Target)) *targetSignals {
	return &targetSignals{log: log, counters: c, directory: d, notify: notify, notifyLimit: notifyLimit, limit: lineLimit{rate: signalLogRate}}
}

// HandleLeaving implements platform.SignalHandler.
func (s *targetSignals) HandleLeaving(t *directory.Target) {
	if t.Load.DeclaredLeaving() || !s.directory.DeclareLeaving(t.Lifetime()) {
		return
	}
	s.counters.leaving.Add(context.Background(), 1)
	s.log.WithFields(logrus.Fields{daemon.FieldTarget: t.ID, daemon.FieldService: t.Service}).Info("target declares that it is leaving")
	s.notify(t.Lifetime())
}

// HandlePause implements platform.SignalHandler.
func (s *targetSignals) HandlePause(t *directory.Target, until time.Time) {
	s.counters.pauses.Add(context.Background(), 1)
	t.Load.RequestPause(until)
	if s.mayLog() {
		s.log.WithFields(logrus.Fields{daemon.FieldTarget: t.ID, fieldPause: millis(time.Until(until))}).Info("target requests a pause")
	}
}

// HandleInvalidPause implements platform.SignalHandler.
func (s *targetSignals) HandleInvalidPause(t *directory.Target, value string) {
	s.counters.invalidPauses.Add(context.Background(), 1)
	if s.mayLog() {
		s.log.WithFields(logrus.Fields{daemon.FieldTarget: t.ID, "value": truncate(value, maxLoggedValue)}).Warn("target requests a pause of invalid length; ignored")
	}
}

// HandleLimit implements platform.SignalHandler.
func (s *targetSignals) HandleLimit(t *directory.Target, perSecond float64, limited bool) {
	if !t.Load.Limit.Declare(perSecond, limited, clock.Nanos(time.Now())) {
		return
	}
	s.notifyLimit(t)
	log := s.log.WithFields(logrus.Fields{daemon.FieldTarget: t.ID, daemon.FieldService: t.Service})
	if limited {
		s.counters.limits.Add(context.Background(), 1)
		log.WithField(fieldLimit, perSecond).Info("target declares a limit")
	} else {
		log.Info("target ends its limit")
	}
}

// HandleInvalidLimit implements platform.SignalHandler.
func (s *targetSignals) HandleInvalidLimit(t *directory.Target, value string) {
	s.counters.invalidLimits.Add(context.Background(), 1)
	if s.mayLog() {
		s.log.WithFields(logrus.Fields{daemon.FieldTarget: t.ID, "value": truncate(value, maxLoggedValue)}).Warn("target declares a limit that is not valid; ignored")
	}
}

func (s *targetSignals) mayLog() bool { return s.limit.take(1) }

const (
	// fieldPause is the length of a requested pause.
	fieldPause = "pause_ms"
	// fieldLimit is a declared limit in requests per second.
	fieldLimit = "limit_per_s"
	// maxLoggedValue is the maximum length of a header value in the log, in bytes.
	maxLoggedValue = 40
)

func truncate(s string, n int) string {
	if len(s) > n {
		return s[:n]
	}
	return s
}
