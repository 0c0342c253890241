// Package measure compares role policies on traces of requests. It drives the
// decision libraries against the engine model of the stand-in on virtual time.
// One simulation runs in one goroutine and handles events in a fixed order, so
// that it gives the same result for the same seed.
package measure
