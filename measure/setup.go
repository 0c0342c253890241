package measure

import (
	"fmt"
	"time"

	"github.com/lentilpick/lentilpick/planning"
	"github.com/lentilpick/lentilpick/standin/modelengine"
	"github.com/lentilpick/lentilpick/types"
)

// Sizes of the simulated deployment.
const (
	// engineCount is the size of the Maracas assistant fleet.
	engineCount = 12
	// workspaceCount is the number of workspaces with equal shares.
	workspaceCount = 8
	model          = types.ModelID("assistant")
)

// Times of the control plane.
const (
	planInterval   = time.Second            // how often a policy may order changes
	reportInterval = 500 * time.Millisecond // how often an engine samples its load
	reportLag      = 2 * time.Second        // as in the design, section 6.5
)

// Deadlines of the target. A prompt counts as short up to 1,024 tokens. Longer
// ones get 1 s for each 8,000 further tokens, which is twice the time that an
// idle prefill engine needs for them.
const (
	shortPromptDeadline     = 310 * time.Millisecond
	shortPromptTokens       = 1024
	deadlineTokensPerSecond = 8000
	tokenInterval           = 26 * time.Millisecond
	// lateShare is the part of the intervals of one response that may be longer
	// than tokenInterval, from "95 in 100".
	maxLateIntervalShare = 0.05
)

// workspaceInFlight is the limit of one workspace: a quarter of the streams
// that the fleet holds at the deadline.
const maxWorkspaceInFlight = engineCount * 125 / 4

func firstTokenDeadline(prompt int) time.Duration {
	long := max(prompt-shortPromptTokens, 0)
	return shortPromptDeadline + time.Duration(long)*time.Second/deadlineTokensPerSecond
}

// params returns an engine on which roles matter. The time between tokens of
// 26 ms is close to what the engine can do: reading the weights takes 16 ms of
// each iteration, whatever the batch. A decode engine holds 125 streams. A
// mixed engine that keeps most of them has room for chunks of 64 prompt tokens
// and pays the 16 ms for each, so it does less than a quarter of the prefill
// work of a prefill engine, whose chunk is the largest with two iterations in the
// deadline of the first token. With the 8 ms and the chunks of 256 tokens of
// the stand-in's default, a mixed engine does two thirds of that work, and
// in a trial no plan gained more than 4% over the best static split on a step.
func engineParams() modelengine.Params {
	p := modelengine.DefaultParams()
	p.Rates.IterationBase = 16 * time.Millisecond
	p.Rates.DecodeCost = 80 * time.Microsecond
	p.ChunkTokens = [types.RoleCount]int{types.RoleMixed: 64, types.RolePrefill: 2048, types.RoleDecode: 16}
	return p
}

func capacityModel() *planning.Capacity {
	p := engineParams()
	return planning.CapacityOf(p.Rates, p.ChunkTokens, tokenInterval)
}

var group = planning.Group{DataCentre: "chaguanas", Model: model}

func engineID(i int) types.TargetID { return types.TargetID(fmt.Sprintf("engine-%02d", i)) }
