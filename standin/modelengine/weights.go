package modelengine

import (
	"errors"
	"fmt"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lentilpick/lentilpick/types"
)

// ErrWeights reports that weights could not be read.
var ErrWeightsUnavailable = errors.New("weights were not read")

// WeightStore is where an engine reads the weights of a model.
type WeightStore interface {
	// Read reads the weights of a model. Errors: ErrWeights.
	Read(m types.ModelID, version string) error
}

// HTTPWeights reads weights from the store at an address.
type HTTPWeightStore struct{ Address string }

const weightTimeout = 5 * time.Second

// Read implements WeightStore.
func (h HTTPWeightStore) Read(m types.ModelID, version string) error {
	path := "http://" + h.Address + "/v1/weights/" + url.PathEscape(string(m)) + "/" + url.PathEscape(version)
	code, _, err := fasthttp.GetTimeout(nil, path, weightTimeout)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrWeightsUnavailable, err)
	}
	if code != fasthttp.StatusOK {
		return fmt.Errorf("status %d: %w", code, ErrWeightsUnavailable)
	}
	return nil
}

const (
	// weightRetry is the pause after a refused read of weights.
	weightRetry = time.Second
	// weightLimit is how long an engine tries to read weights. The change is
	// given up after it.
	weightLimit = 5 * time.Minute
)

// Order carries out an order. A change to another model or version first reads
// the weight store, and lasts longer when the store refuses. Errors:
// ErrStaleFence, ErrBusy.
func (r *Runner) Order(o Order) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	before := r.engine.OrderInProgress(now)
	cut, err := r.engine.Apply(o, now)
	r.deliver(cut)
	r.signal()
	if err != nil || r.weights == nil || before == o.ID || !r.engine.LoadsWeights() {
		return err
	}
	r.engine.SetChangeEnd(o.ID, now.Add(weightLimit))
	go r.loadWeights(o)
	return nil
}

// loadWeights reads the weights of an order's model and lets its change end
// ChangeTime later.
func (r *Runner) loadWeights(o Order) {
	limit := time.NewTimer(weightLimit)
	defer limit.Stop()
	for r.weights.Read(o.Model, o.Version) != nil {
		pause := time.NewTimer(weightRetry)
		select {
		case <-pause.C:
		case <-limit.C:
			r.Do(func(e *Engine, now time.Time) []Output {
				if e.OrderInProgress(now) == o.ID {
					e.AbortChange()
				}
				return nil
			})
			return
		case <-r.stop:
			return
		}
	}
	r.Do(func(e *Engine, now time.Time) []Output {
		e.SetChangeEnd(o.ID, now.Add(e.params.ChangeTime))
		return nil
	})
}
