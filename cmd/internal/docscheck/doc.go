// Package docscheck checks the pages for operators against the code; it holds
// tests only.
package docscheck
