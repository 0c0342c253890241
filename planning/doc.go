// Package planning estimates the demand for prefill and decode work and plans
// the roles of engines. It performs no I/O, starts no goroutines and takes all
// clock readings as arguments. A Planner is owned by one goroutine.
package planning
