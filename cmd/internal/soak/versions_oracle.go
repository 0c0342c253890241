package soak

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// maxMixedStreams is the number of streams with events of two versions that rule ORDER allows.
	maxMixedStreams = 2
	// minTakeUps is the number of streams from which on rule LOST compares shares.
	minTakeUps = 12
	// servingMargin is the time before and after a take-up for which targets of its version must
	// have served, so that nodes have read their registrations.
	servingMargin = time.Second
	servingEnough = 2
)

// versionsFigures are the results of a run.
type versionsFigures struct {
	sent, begun int // new streams, at nodes in touch
	// mixedInAnswer and mixedOverTries are streams with events of two versions.
	mixedInAnswer, mixedOverTries int
	// takenUp and wentOn are streams that callers took up while enough targets of their version
	// served, and those that went on, at nodes in touch. allTakenUp and allWentOn count them at
	// all nodes and whatever served.
	takenUp, wentOn, allTakenUp, allWentOn int
	// caches are KV caches that decode engines fetched, and cachesAcross those of another version.
	caches, cachesAcross int
	// results are the statuses of new streams and of take-ups, with the reasons of refusals.
	results, takeUpResults map[string]int
	errs                   []error
}

func newVersionsFigures() *versionsFigures {
	return &versionsFigures{results: map[string]int{}, takeUpResults: map[string]int{}}
}

// result returns the status of a request and the reason of a refusal, "none" without a response.
func (t *streamTry) result() string {
	if t.status == 0 {
		return "none"
	}
	return strings.TrimSuffix(fmt.Sprintf("%d-%s", t.status, t.reason), "-")
}

// mixing tells whether a stream holds events of two versions, within one answer or over tries.
func (s *versionedStream) mixing() (inAnswer, overTries bool) {
	first := ""
	for i := range s.tries {
		for _, v := range s.tries[i].events {
			if first == "" {
				first = v
			}
			inAnswer = inAnswer || v != s.tries[i].events[0]
			overTries = overTries || v != first
		}
	}
	return inAnswer, overTries && !inAnswer
}

// serving returns the number of targets that served as a version from a time to another.
func serving(lives map[string][]engineLife, version string, from, to time.Time) (n int) {
	for _, of := range lives {
		if slices.ContainsFunc(of, func(l engineLife) bool {
			return l.version == version && !l.began.After(from) && (l.ended.IsZero() || l.ended.After(to))
		}) {
			n++
		}
	}
	return n
}

func (s *versionsRun) judge() *versionsFigures {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := newVersionsFigures()
	decodeLives := map[string][]engineLife{}
	for _, t := range s.deployment.targets {
		if t.Phase() == "decode" {
			decodeLives[t.ID] = s.lives[t.ID]
		}
		for _, r := range t.Runs() {
			if r.PrefillVersion != "" {
				f.caches++
				if r.PrefillVersion != r.Version {
					f.cachesAcross++
				}
			}
		}
	}
	for i := range s.streams {
		f.add(&s.streams[i], decodeLives)
	}
	return f
}

func (f *versionsFigures) add(s *versionedStream, lives map[string][]engineLife) {
	inAnswer, overTries := s.mixing()
	if inAnswer {
		f.mixedInAnswer++
	}
	if overTries {
		f.mixedOverTries++
	}
	for i := range s.tries {
		if w := s.tries[i].wrong; w != "" {
			f.errs = append(f.errs, fmt.Errorf("ORDER: request %s at %s: %s", s.tries[i].id, s.tries[i].node.name, w))
		}
	}
	f.results[s.tries[0].result()]++
	first := s.begun()
	if s.tries[0].inTouch() && s.tries[0].status != 0 {
		f.sent++
		if first == 0 {
			f.begun++
		}
	}
	if first >= 0 {
		f.addTakeUps(s.tries[first].events[0], s.tries[first+1:], lives)
	}
}

// addTakeUps counts the take-ups of a stream of a version. Its tries count up to the one with
// which it goes on.
func (f *versionsFigures) addTakeUps(version string, tries []streamTry, lives map[string][]engineLife) {
	if len(tries) == 0 {
		return
	}
	judged, wentOn := false, false
	for i := range tries {
		t := &tries[i]
		f.takeUpResults[t.result()]++
		wentOn = t.status == http.StatusOK && len(t.events) > 0
		end := t.ended
		if wentOn {
			end = t.sent
		}
		judged = judged || t.status != 0 && t.inTouch() && serving(lives, version, t.sent.Add(-servingMargin), end.Add(servingMargin)) >= servingEnough
		if wentOn {
			break
		}
	}
	f.allTakenUp++
	if judged {
		f.takenUp++
	}
	if wentOn {
		f.allWentOn++
		if judged {
			f.wentOn++
		}
	}
}

func (t *streamTry) inTouch() bool {
	return t.node.disturbedFor(t.sent) == 0 && t.node.disturbedFor(t.ended) == 0
}

// check returns the rules that the run broke.
func (f *versionsFigures) check() error {
	errs := f.errs
	if n := f.mixedInAnswer + f.mixedOverTries; n > maxMixedStreams {
		errs = append(errs, fmt.Errorf("ORDER: %d streams hold events of two versions, %d in one answer and %d over tries", n, f.mixedInAnswer, f.mixedOverTries))
	}
	if f.takenUp >= minTakeUps && 2*f.wentOn*f.sent < f.takenUp*f.begun {
		errs = append(errs, fmt.Errorf("LOST: %d of %d streams taken up went on, %d of %d new streams began", f.wentOn, f.takenUp, f.begun, f.sent))
	}
	return errors.Join(errs...)
}

func (s *versionsRun) summary(f *versionsFigures) string {
	return fmt.Sprintf("timer-delay=%s streams=%d sent=%d begun=%d mixed-in-answer=%d mixed-over-tries=%d taken-up=%d went-on=%d all-taken-up=%d all-went-on=%d new=%v resumed=%v caches=%d caches-across=%d crashes=%d swaps=%d kills=%d",
		s.delay.max().Round(time.Millisecond), len(s.streams), f.sent, f.begun, f.mixedInAnswer, f.mixedOverTries, f.takenUp, f.wentOn,
		f.allTakenUp, f.allWentOn, f.results, f.takeUpResults, f.caches, f.cachesAcross, s.crashes, s.swaps, s.kills)
}
