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
	// engineCount is the number of engines in the assistant fleet of the Maracas deployment.
	engineCount = 12
	// workspaceCount is the number of workspaces, which have equal shares.
	workspaceCount = 8
	model          = types.ModelID("assistant")
)

// Intervals and delays of the control plane.
const (
	planInterval   = time.Second            // between two plans of a policy
	reportInterval = 500 * time.Millisecond // between two load reports of an engine
	reportLag      = 2 * time.Second        // age of the reports in use, from section 6.5 of the design
)

// Deadlines that requests are measured against. Prompts of up to 1,024 tokens are short. Longer prompts
// get 1 s for each further 8,000 tokens, which is twice the time that an idle prefill engine takes.
const (
	shortPromptDeadline     = 310 * time.Millisecond
	shortPromptTokens       = 1024
	deadlineTokensPerSecond = 8000
	tokenInterval           = 26 * time.Millisecond
	// maxLateIntervalShare is the share of the intervals of one response that may exceed
	// tokenInterval. The objective is that 95 of 100 intervals meet the deadline.
	maxLateIntervalShare = 0.05
)

// maxWorkspaceInFlight limits the requests in flight of one workspace to a quarter of the streams that
// the fleet can serve within tokenInterval, at 125 streams per engine.
const maxWorkspaceInFlight = engineCount * 125 / 4

// firstTokenDeadline returns the deadline of the first token, measured from the arrival, for a prompt
// of the given number of tokens.
func firstTokenDeadline(promptTokens int) time.Duration {
	extraTokens := max(promptTokens-shortPromptTokens, 0)
	return shortPromptDeadline + time.Duration(extraTokens)*time.Second/deadlineTokensPerSecond
}

// engineParams returns the parameters of an engine whose throughput depends on its role. The deadline
// between tokens of 26 ms is close to the engine's limit: reading the weights takes 16 ms of each
// iteration regardless of the batch size. A decode engine serves 125 streams within the deadline. A
// mixed engine that serves most of that number has room for prefill chunks of 64 tokens and spends
// 16 ms on each, so its prefill throughput is less than a quarter of that of a prefill engine, whose
// chunk is the largest that allows two iterations within the first-token deadline. With the stand-in's
// defaults of 8 ms and chunks of 256 tokens, the prefill throughput of a mixed engine is two thirds of
// that of a prefill engine, and no plan gained more than 4% over the best static split on a step.
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
