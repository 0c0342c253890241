package proof

import (
	"flag"
	"maps"
	"slices"

	"pgregory.net/rapid"
)

// init sets defaults of rapid's flags, so that a plain "go test" runs the same sequences
// every time. "make fuzz" sets seed and checks on the command line.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "100", "rapid.steps": "100", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// withFaults adds the actions of one or two kinds of fault to the normal ones, in one
// case of four those of all kinds.
func withFaults(t *rapid.T, normal map[string]func(*rapid.T), faults map[string]map[string]func(*rapid.T)) map[string]func(*rapid.T) {
	kinds := slices.Sorted(maps.Keys(faults))
	chosen := rapid.SliceOfNDistinct(rapid.SampledFrom(kinds), 1, 2, rapid.ID[string]).Draw(t, "faults")
	if rapid.IntRange(0, 3).Draw(t, "all") == 0 {
		chosen = kinds
	}
	out := maps.Clone(normal)
	for _, k := range chosen {
		maps.Copy(out, faults[k])
	}
	return out
}
