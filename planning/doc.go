// Package planning estimates the demand for prefill and decode work and plans
// the roles of engines. It performs no I/O.
package planning
