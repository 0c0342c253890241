package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/lentilpick/lentilpick/types"
	"github.com/lentilpick/lentilpick/versions"
)

// versionsTopic is the keyed topic with the plans of the software versions. The key is the service.
const versionsTopic = "lentilpick-versions"

// errVersionRecord reports a record of versionsTopic with an invalid value.
var errVersionRecord = errors.New("invalid record of software versions")

const (
	// maxShares, maxShare, maxPlans and maxReplaced bound what is decoded: the versions of a plan, the
	// targets of a version, the earlier plans of a record and their ages.
	maxShares   = 64
	maxShare    = 1 << 20
	maxPlans    = 16
	maxReplaced = time.Hour
)

// versionRecord is the record of one service, as versions.Record.
type versionRecord struct {
	Sequence uint64              `json:"sequence"`
	Writer   uint64              `json:"writer"`
	Current  versionPlanRecord   `json:"current"`
	Next     *versionPlanRecord  `json:"next,omitempty"`
	Previous []earlierPlanRecord `json:"previous,omitempty"`
}

// earlierPlanRecord is a plan that was replaced, as versions.EarlierPlan. Releases before the field
// replaced_ms neither write nor read it, and count from their start.
type earlierPlanRecord struct {
	versionPlanRecord
	ReplacedMs int64 `json:"replaced_ms,omitempty"`
}

// versionPlanRecord is a plan, as versions.Plan. Shares holds the weight of each version.
type versionPlanRecord struct {
	Generation uint64                        `json:"generation"`
	Shares     map[types.SoftwareVersion]int `json:"shares,omitempty"`
}

func encodeVersions(r versions.Record) ([]byte, error) {
	out := versionRecord{Sequence: r.Sequence, Writer: r.Writer, Current: encodePlan(r.Current)}
	if r.Next != nil {
		next := encodePlan(*r.Next)
		out.Next = &next
	}
	for _, p := range r.Previous {
		out.Previous = append(out.Previous, earlierPlanRecord{encodePlan(p.Plan), p.Age.Milliseconds()})
	}
	return json.Marshal(out)
}

func encodePlan(p versions.Plan) versionPlanRecord {
	r := versionPlanRecord{Generation: p.Generation}
	for _, s := range p.Shares {
		if r.Shares == nil {
			r.Shares = map[types.SoftwareVersion]int{}
		}
		r.Shares[s.Version] = s.Weight
	}
	return r
}

// decodeVersions decodes the record of a service. The error wraps errVersionRecord.
func decodeVersions(key string, value []byte) (versions.Record, error) {
	var in versionRecord
	if err := json.Unmarshal(value, &in); err != nil {
		return versions.Record{}, fmt.Errorf("service %.60q: %w: %w", key, errVersionRecord, err)
	}
	if in.Sequence == 0 || len(in.Previous) > maxPlans {
		return versions.Record{}, fmt.Errorf("service %.60q: sequence %d with %d earlier plans: %w", key, in.Sequence, len(in.Previous), errVersionRecord)
	}
	plans := []versionPlanRecord{in.Current}
	for _, p := range in.Previous {
		if p.ReplacedMs < 0 || p.ReplacedMs > maxReplaced.Milliseconds() {
			return versions.Record{}, fmt.Errorf("service %.60q: plan of generation %d replaced for %d ms: %w", key, p.Generation, p.ReplacedMs, errVersionRecord)
		}
		plans = append(plans, p.versionPlanRecord)
	}
	if in.Next != nil {
		plans = append(plans, *in.Next)
	}
	for _, p := range plans {
		if !p.valid() {
			return versions.Record{}, fmt.Errorf("service %.60q: invalid plan of generation %d: %w", key, p.Generation, errVersionRecord)
		}
	}
	out := versions.Record{Sequence: in.Sequence, Writer: in.Writer, Current: decodePlan(in.Current)}
	if in.Next != nil {
		next := decodePlan(*in.Next)
		out.Next = &next
	}
	for _, p := range in.Previous {
		age := time.Duration(p.ReplacedMs) * time.Millisecond
		out.Previous = append(out.Previous, versions.EarlierPlan{Plan: decodePlan(p.versionPlanRecord), Age: age})
	}
	return out, nil
}

func (p versionPlanRecord) valid() bool {
	for _, n := range p.Shares {
		if n <= 0 || n > maxShare {
			return false
		}
	}
	return len(p.Shares) <= maxShares
}

func decodePlan(p versionPlanRecord) versions.Plan { return versions.NewPlan(p.Generation, p.Shares) }
