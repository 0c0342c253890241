package gateway

import (
	"errors"

	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/types"
)

// checkCrashes refuses a request whose prompt has a part that crashes engines.
func (s *stream) checkCrashes() error {
	if s.r.Prompt == nil {
		return nil
	}
	if blocked := s.g.settings.Crashes.Blocked(s.r.Prompt.Parts); blocked > 0 {
		return &outcomeError{s.refuse(types.RefusedCrashingPrompt, blocked)}
	}
	return nil
}

// recordRunEnd records what a response that has ended proves about the prompt.
func (s *stream) recordRunEnd(t *directory.Target, resp Response) {
	switch {
	case s.r.Prompt == nil:
	case resp.EndMarked():
		s.g.settings.Crashes.RecordAnswer(s.r.Prompt.Parts)
	case s.callerCtx.Err() == nil:
		s.g.settings.Crashes.RecordUnmarkedEnd(t, s.r.Prompt.Parts, s.runEvents)
	}
}

// recordRunFailure records a failed run in the load of the target, and a broken connection as a
// possible crash.
func (s *stream) recordRunFailure(t *directory.Target, err error) {
	if errors.Is(err, ErrInvalidResponse) && s.r.Prompt != nil && s.callerCtx.Err() == nil {
		s.g.settings.Crashes.RecordBroken(t, s.r.Prompt.Parts, s.runEvents)
	}
	s.recordFailure(t, err)
}
