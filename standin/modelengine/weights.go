package modelengine

import (
	"errors"
	"fmt"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lentilpick/lentilpick/types"
)

// ErrWeightsUnavailable reports that the weight store did not serve the weights.
var ErrWeightsUnavailable = errors.New("weights could not be read from the weight store")

// WeightStore is the store from which engines read model weights.
type WeightStore interface {
	// Read reads the weights of a model. Errors: ErrWeightsUnavailable.
	Read(m types.ModelID, version string) error
}

// HTTPWeightStore reads weights over HTTP from the store at Address.
type HTTPWeightStore struct{ Address string }

const weightReadTimeout = 5 * time.Second

// Read implements WeightStore.
func (h HTTPWeightStore) Read(m types.ModelID, version string) error {
	path := "http://" + h.Address + "/v1/weights/" + url.PathEscape(string(m)) + "/" + url.PathEscape(version)
	code, _, err := fasthttp.GetTimeout(nil, path, weightReadTimeout)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrWeightsUnavailable, err)
	}
	if code != fasthttp.StatusOK {
		return fmt.Errorf("weight store responded with status %d: %w", code, ErrWeightsUnavailable)
	}
	return nil
}

const (
	// weightRetryInterval is the pause after a refused read of weights.
	weightRetryInterval = time.Second
	// weightLoadTimeout is how long an engine tries to read weights before it aborts
	// the change.
	weightLoadTimeout = 5 * time.Minute
)

// Order carries out an order. A change to another model or version first reads
// the weights; while the store refuses, the change is prolonged. Errors:
// ErrStaleFence, ErrOrderInProgress.
func (r *Runner) Order(o Order) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	previous := r.engine.OrderInProgress(now)
	interrupted, err := r.engine.Apply(o, now)
	r.deliver(interrupted)
	r.signal()
	if err != nil || r.weights == nil || previous == o.ID || !r.engine.LoadsWeights() {
		return err
	}
	r.engine.SetChangeEnd(o.ID, now.Add(weightLoadTimeout))
	go r.loadWeights(o)
	return nil
}

// loadWeights reads the weights for an order and then sets its change to end after
// ChangeTime. It aborts the change after weightLoadTimeout.
func (r *Runner) loadWeights(o Order) {
	limit := time.NewTimer(weightLoadTimeout)
	defer limit.Stop()
	for r.weights.Read(o.Model, o.Version) != nil {
		pause := time.NewTimer(weightRetryInterval)
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
