// Package proof holds stateful tests that drive the state machines of several
// modules together against a simple oracle.
package proof
