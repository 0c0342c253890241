// Package docscheck contains tests that check the documentation for operators and the
// layout of the code.
package docscheck
