// Command stopdays writes scenarios ("days") for the external test bench in which nodes
// are stopped by SIGTERM in several series that overlap, beside traffic shifts,
// configuration changes, SIGHUP, added nodes and targets that leave. Most days have only
// planned work and load, because the bench excuses requests lost beside a disruption.
package main

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"

	"github.com/BurntSushi/toml"
	"github.com/alecthomas/kong"
)

var cli struct {
	Site string `arg:"" type:"existingfile" help:"Site file of the bench."`
	Dir  string `arg:"" help:"Directory for the day files."`
	Days int    `default:"24" help:"Number of days."`
	Seed uint64 `default:"1" help:"Seed of the first day; each day has the next one."`
}

// entry is an event of a day, with the fields that the bench defines.
type entry = map[string]any

// day is a scenario of the bench.
type day struct {
	Name   string  `toml:"name"`
	Length float64 `toml:"length_s"`
	Plan   []entry `toml:"plan"`
	Faults []entry `toml:"faults"`
	// Traffic replaces the traffic of the site.
	Traffic []entry `toml:"traffic,omitempty"`
}

// site is the part of a site file that days depend on.
type site struct {
	Classes []struct {
		Name      string  `toml:"name"`
		Kind      string  `toml:"kind"`
		TimeoutMs float64 `toml:"timeout_ms"`
	} `toml:"classes"`
	Traffic []entry `toml:"traffic"`
}

const (
	dayLengthSeconds = 40.0
	// quietTailSeconds is kept free of SIGTERM, so that every stop ends within the day.
	quietTailSeconds = 9.0
	// settledSeconds is longer than the time after which the bench counts a system as
	// stable again, and is kept between a disruption and the next SIGTERM.
	settledSeconds = 5.2
	// mainShare and otherShare are the weights in the traffic of the kind of request with
	// the longest responses and of each other kind.
	mainShare  = 50.0
	otherShare = 0.5
)

// family is a kind of day. It adds its events to the series of SIGTERM, which start at
// firstStop at the earliest.
type family struct {
	name      string
	firstStop float64
	events    func(*rand.Rand, *day)
	// longStreams are the bounds of the factor by which the site's rate of requests is
	// multiplied, with most requests of the kind with the longest responses; zeros leave
	// the traffic as it is.
	longStreams [2]float64
}

var families = []family{
	{name: "alone", firstStop: 1, events: func(*rand.Rand, *day) {}},
	{name: "long-streams", firstStop: 1, events: addDenseStops, longStreams: [2]float64{2.5, 4.5}},
	{name: "shifts", firstStop: 1, events: addShifts},
	{name: "changes", firstStop: 1, events: addChanges},
	{name: "storms", firstStop: 1, events: addStorms},
	{name: "long-streams-and-reloads", firstStop: 1, events: addReloads, longStreams: [2]float64{1.5, 3.5}},
	{name: "reloads", firstStop: 1, events: addReloads},
	{name: "nodes", firstStop: 1, events: addNodes},
	{name: "targets", firstStop: 1, events: addTargets},
	{name: "overload", firstStop: 1, events: addOverload},
	{name: "long-streams-at-usual-load", firstStop: 1, events: addDenseStops, longStreams: [2]float64{0.8, 1.5}},
	{name: "slow-cache", firstStop: 1, events: addSlowCache},
	{name: "shifts-and-changes", firstStop: 1, events: func(r *rand.Rand, d *day) { addShifts(r, d); addChanges(r, d) }},
	{name: "overload-and-storms", firstStop: 1, events: func(r *rand.Rand, d *day) { addOverload(r, d); addStorms(r, d) }},
	{name: "after-a-disruption", events: addEarlierDisruption},
	{name: "long-streams-after-a-disruption", events: addEarlierDisruption, longStreams: [2]float64{1.5, 3.5}},
}

func main() {
	kong.Parse(&cli)
	if err := writeDays(cli.Site, cli.Dir, cli.Days, cli.Seed); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Printf("%d days in %s\n", cli.Days, cli.Dir)
}

func writeDays(siteFile, dir string, days int, seed uint64) error {
	var s site
	if _, err := toml.DecodeFile(siteFile, &s); err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for i := range days {
		n := seed + uint64(i)
		d := newDay(s, n)
		if err := writeDay(filepath.Join(dir, d.Name+".toml"), d); err != nil {
			return err
		}
	}
	return nil
}

func newDay(s site, seed uint64) day {
	r := rand.New(rand.NewPCG(seed, 0))
	f := families[int(seed%uint64(len(families)))]
	d := day{Name: fmt.Sprintf("stops-%04d-%s", seed, f.name), Length: dayLengthSeconds, Faults: []entry{}}
	first := f.firstStop
	f.events(r, &d)
	if first == 0 {
		first = endOf(d.Faults) + settledSeconds
	}
	addStops(r, &d, first)
	if f.longStreams[1] > 0 {
		d.Traffic = s.longStreams(between(r, f.longStreams[0], f.longStreams[1]), pick(r, 1.0, 2.0, 4.0))
	}
	for _, entries := range [][]entry{d.Plan, d.Faults} {
		slices.SortStableFunc(entries, func(a, b entry) int {
			return int(math.Copysign(1, a["at"].(float64)-b["at"].(float64)))
		})
	}
	return d
}

// longStreams returns traffic mostly of the kind of request with the longest time-out, at
// the given multiples of the site's rate and number of clients.
func (s site) longStreams(rate, clients float64) []entry {
	longest := ""
	timeout := 0.0
	for _, c := range s.Classes {
		if c.Kind == "stream" && c.TimeoutMs > timeout {
			longest, timeout = c.Name, c.TimeoutMs
		}
	}
	traffic := []entry{}
	for _, t := range s.Traffic {
		e := entry{}
		maps.Copy(e, t)
		mix := entry{}
		for _, c := range s.Classes {
			mix[c.Name] = otherShare
		}
		mix[longest] = mainShare
		e["mix"] = mix
		e["per_s"] = number(t["per_s"]) * rate
		e["clients"] = int(number(t["clients"]) * clients)
		traffic = append(traffic, e)
	}
	return traffic
}

// number returns a TOML integer or float as a float.
func number(v any) float64 {
	if n, ok := v.(int64); ok {
		return float64(n)
	}
	f, _ := v.(float64)
	return f
}

// endOf returns the time at which the last of the events ends.
func endOf(entries []entry) float64 {
	end := 0.0
	for _, e := range entries {
		length, _ := e["for_s"].(float64)
		end = max(end, e["at"].(float64)+length)
	}
	return end
}

// addStops adds one to four series of SIGTERM at any time from first on.
func addStops(r *rand.Rand, d *day, first float64) {
	for range 1 + r.IntN(4) {
		e := entry{
			"kind":  "roll_term",
			"at":    between(r, first, dayLengthSeconds-quietTailSeconds),
			"x":     pick(r, 1.0, 1.0, 2.0, 4.0),
			"gap_s": pick(r, 0.1, 0.3, 0.7, 1.2, 2.0, 3.5),
			"share": pick(r, 0.3, 0.5, 1.0, 1.0),
		}
		switch how := pick(r, "", "", "leader", "busy", "remove"); how {
		case "":
		case "remove":
			e["how"], e["share"] = how, 0.2
		default:
			e["how"] = how
		}
		d.Plan = append(d.Plan, e)
	}
}

// addDenseStops adds series that stop each node again soon after it has returned.
func addDenseStops(r *rand.Rand, d *day) {
	for at := between(r, 1, 3); at < dayLengthSeconds-quietTailSeconds; at += between(r, 4, 7) {
		d.Plan = append(d.Plan, entry{
			"kind": "roll_term", "at": at, "share": 1.0, "x": pick(r, 1.0, 2.0, 4.0), "gap_s": pick(r, 0.2, 0.4, 0.7),
		})
	}
}

// addShifts lets the traffic change between long prompts and long responses, so that
// engines change their roles.
func addShifts(r *rand.Rand, d *day) {
	period := pick(r, 3.0, 5.0, 8.0)
	for at, k := 0.5, 0; at < dayLengthSeconds-period; at, k = at+period, k+1 {
		up, down := "@c0", "@c2"
		if k%2 == 1 {
			up, down = down, up
		}
		d.Faults = append(d.Faults,
			entry{"at": at, "for_s": period, "kind": "burst", "class": up, "x": between(r, 1.6, 2.4)},
			entry{"at": at, "for_s": period, "kind": "burst", "class": down, "x": between(r, 0.3, 0.6)})
	}
}

func addChanges(r *rand.Rand, d *day) {
	for at := between(r, 0.5, 3); at < dayLengthSeconds-2; at += between(r, 0.8, 4) {
		d.Plan = append(d.Plan, entry{
			"at": at, "kind": "config_change", "how": pick(r, "route", "weights", "timeout", "timeout", "idle"),
		})
	}
}

func addStorms(r *rand.Rand, d *day) {
	for at := between(r, 0.5, 4); at < dayLengthSeconds-8; at += between(r, 6, 11) {
		d.Plan = append(d.Plan, entry{
			"at": at, "kind": "config_storm", "for_s": pick(r, 2.0, 4.0, 6.0), "gap_s": pick(r, 0.15, 0.33, 0.7),
		})
	}
	if r.IntN(2) == 0 {
		d.Plan = append(d.Plan, entry{"at": between(r, 5, 30), "kind": "big_config", "count": 300})
	}
}

func addReloads(r *rand.Rand, d *day) {
	for at := between(r, 0.5, 3); at < dayLengthSeconds-4; at += between(r, 2, 6) {
		d.Plan = append(d.Plan, entry{
			"at": at, "kind": "hup", "share": pick(r, 0.3, 0.6, 1.0), "gap_s": pick(r, 0.1, 0.5, 2.0),
		})
	}
	addChanges(r, d)
}

func addNodes(r *rand.Rand, d *day) {
	d.Plan = append(d.Plan,
		entry{"at": between(r, 2, 20), "kind": "add_nodes", "share": pick(r, 0.5, 1.0)},
		entry{"at": between(r, 4, 28), "kind": "replace_core", "how": "planned", "x": pick(r, 1.0, 2.0)})
	addShifts(r, d)
}

func addTargets(r *rand.Rand, d *day) {
	d.Plan = append(d.Plan,
		entry{"at": between(r, 2, 18), "kind": "release", "share": pick(r, 0.3, 0.5), "x": pick(r, 1.0, 2.0), "gap_s": pick(r, 0.5, 1.0)},
		entry{"at": between(r, 8, 28), "kind": "scale_in", "share": pick(r, 0.13, 0.25)})
	if r.IntN(2) == 0 {
		addShifts(r, d)
	}
}

func addOverload(r *rand.Rand, d *day) {
	x := between(r, 1.8, 4)
	for _, class := range []string{"@c0", "@c1", "@c2"} {
		if r.IntN(3) > 0 {
			d.Faults = append(d.Faults, entry{"at": 1.0, "for_s": 36.0, "kind": "burst", "class": class, "x": x})
		}
	}
	if len(d.Faults) == 0 {
		d.Faults = append(d.Faults, entry{"at": 1.0, "for_s": 36.0, "kind": "burst", "x": x})
	}
}

// addSlowCache slows the transfer of KV cache or drops handles, which makes streams
// last long.
func addSlowCache(r *rand.Rand, d *day) {
	for at := between(r, 0.5, 3); at < dayLengthSeconds-8; at += between(r, 6, 12) {
		d.Faults = append(d.Faults, entry{
			"at": at, "for_s": between(r, 3, 6), "kind": pick(r, "kv_slow", "handle_short"),
			"share": pick(r, 0.3, 0.6, 1.0), "service": "@s0",
		})
	}
	if r.IntN(2) == 0 {
		addOverload(r, d)
	}
}

// addEarlierDisruption adds disruptions that end before the first SIGTERM.
func addEarlierDisruption(r *rand.Rand, d *day) {
	disruptions := []entry{
		{"kind": "platform_down", "how": "silent"},
		{"kind": "platform_down", "how": "reset"},
		{"kind": "platform_slow", "x": 60.0},
		{"kind": "core_cut", "count": 1, "how": "leader"},
		{"kind": "node_freeze", "share": 0.3},
		{"kind": "node_kill", "share": 0.3},
		{"kind": "node_kill", "on": "core", "count": 1, "how": "leader"},
		{"kind": "node_cut", "share": 0.3},
		{"kind": "zone_cut", "how": "drop"},
		{"kind": "srv_crash", "service": "@s0", "share": 0.4, "how": "dark"},
		{"kind": "srv_grey", "service": "@s0", "share": 0.4, "how": "slow"},
		{"kind": "herd_kill", "share": 0.6},
		{"kind": "kv_slow", "service": "@s0", "share": 0.6},
		{"kind": "applied_late", "how": "orders", "x": 0.5},
	}
	for range 1 + r.IntN(2) {
		e := entry{"at": between(r, 0.5, 6), "for_s": between(r, 2, 5)}
		for k, v := range disruptions[r.IntN(len(disruptions))] {
			e[k] = v
		}
		d.Faults = append(d.Faults, e)
	}
}

func between(r *rand.Rand, low, high float64) float64 {
	return math.Round((low+(high-low)*r.Float64())*100) / 100
}

func pick[T any](r *rand.Rand, values ...T) T {
	return values[r.IntN(len(values))]
}

func writeDay(path string, d day) (err error) {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	return toml.NewEncoder(f).Encode(struct {
		Day []day `toml:"day"`
	}{[]day{d}})
}
