// Package proof contains stateful tests that drive the state machines of several
// modules together and compare them with a simple oracle.
package proof
