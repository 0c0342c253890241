package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/admission"
	"github.com/lentilpick/lentilpick/engine"
)

// Guards against a request that fails because a draining target refuses it while the retry budget is
// exhausted.
func TestTargetRefusalSpendsNoRetryBudget(t *testing.T) {
	var b admission.RetryBudget
	for b.Spend() {
	}
	assert.Assert(t, classify(&engine.StatusError{Status: 503}).mayRetry(&b))
	assert.Assert(t, !classify(engine.ErrStalled).mayRetry(&b))
}
