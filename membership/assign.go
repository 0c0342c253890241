package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lentilpick/lentilpick/types"
)

// weight returns the weight of a member for a key in rendezvous (highest random weight)
// hashing, after Thaler and Ravishankar, 1998.
func weight(member, key string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(member)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// Best returns the member with the highest weight for the key, or the zero value if there are
// no members. All daemons that see the same members choose the same one without exchanging
// messages.
func Best[M ~string](members []M, key string) M {
	var best M
	var top uint64
	for _, m := range members {
		w := weight(string(m), key)
		if best == "" || w > top || (w == top && m < best) {
			best, top = m, w
		}
	}
	return best
}

// IsReportReader reports whether self is the daemon that reads the load report of
// target. live holds the live members of the target's data centre.
func IsReportReader(self types.VMID, live []types.VMID, target types.TargetID) bool {
	return Best(live, string(target)) == self
}

// SpreadDelay returns a delay in [0, d) that depends only on the member. It spreads
// actions that all members would otherwise perform at the same time.
func SpreadDelay[M ~string](m M, d time.Duration) time.Duration {
	const steps = 1000
	return d / steps * time.Duration(weight(string(m), "")%steps)
}
