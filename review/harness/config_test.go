package harness

import "encoding/json"

// Paths of the routes.
const (
	bookingPath      = "/bano413/"
	availabilityPath = "/cufi504/"
	queryPath        = "/lohu930/"
)

// writeConfiguration writes the configuration of the site mtc-lentil for two services: a booking
// desk and model servers.
func (d *deployment) writeConfiguration() {
	route := func(name, path, kind, service string, timeout, slo, attempts, priority int, prompt bool) map[string]any {
		r := map[string]any{
			"Name": name, "Host": host, "PathPrefix": path, "Kind": kind, "TimeoutMs": timeout, "SloMs": slo,
			"Priority": priority, "Service": service, "MaxAttempts": attempts, "Sticky": prompt, "Resumable": false,
		}
		if kind == "streaming" {
			r["GapSloMs"] = 200
		}
		return r
	}
	b, _ := json.Marshal(map[string]any{
		"Version": 7,
		"Routes": []any{
			route("booking", bookingPath, "unsafe", "wuno96b", 1000, 100, 1, 2, false),
			route("availability", availabilityPath, "safe", "wuno96b", 1000, 100, 2, 2, false),
			route("rate-query", queryPath, "streaming", "huvo11a", 8000, 400, 1, 0, true),
		},
		"Services": []any{
			map[string]any{"Name": "huvo11a", "HealthPath": "/healthz", "MaxConns": 720, "Protocol": "h1", "Tls": false, "Engine": map[string]any{
				"Slots": 64, "KvCapacity": 533193, "KvTokenBytes": 163840, "LinkMbps": 1600000.0, "Moves": true, "Backups": true, "Stride": 7,
				"most": 12, "HandleTtlS": 5.0, "SwitchS": switchTime.Seconds(), "PinMs": 4000.0, "HoldMs": 2000.0, "Models": []any{map[string]any{"Name": "m"}},
			}},
			map[string]any{"Name": "wuno96b", "HealthPath": "/healthz", "MaxConns": 192, "Protocol": "h1", "Tls": false},
		},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	d.store.put("keyed.op", "config", b)
}
