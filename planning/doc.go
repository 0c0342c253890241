// Package planning estimates the demand for prefill and decode work and plans the
// roles of engines. It performs no I/O, starts no goroutines and receives the current
// time as an argument. A Planner must be used by one goroutine only.
package planning
