package node

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/lentilpick/lentilpick/types"
	"github.com/lentilpick/lentilpick/versions"
)

// versionsTopic is the keyed topic with the plans of the software versions. The key is the service.
const versionsTopic = "lentilpick-versions"

// errVersionRecord reports a record of versionsTopic with an invalid value.
var errVersionRecord = errors.New("invalid record of software versions")

const (
	// maxShares, maxShare and maxPlans bound what is decoded: the versions of a plan, the targets of a
	// version and the earlier plans of a record.
	maxShares = 64
	maxShare  = 1 << 20
	maxPlans  = 16
)

// versionRecord is the record of one service, as versions.Record.
type versionRecord struct {
	Sequence uint64              `json:"sequence"`
	Writer   uint64              `json:"writer"`
	Current  versionPlanRecord   `json:"current"`
	Next     *versionPlanRecord  `json:"next,omitempty"`
	Previous []versionPlanRecord `json:"previous,omitempty"`
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
		out.Previous = append(out.Previous, encodePlan(p))
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
	plans := append(in.Previous, in.Current)
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
		out.Previous = append(out.Previous, decodePlan(p))
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
