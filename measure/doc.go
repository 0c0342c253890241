// Package measure compares policies for placing requests and assigning engine roles on request traces.
// It is a discrete-event simulator that runs the admission, routing and planning libraries against the
// stand-in's engine model in virtual time. Each simulation runs in one goroutine and handles events in
// a fixed order, so that the same seed gives the same result.
package measure
