// Package tools declares the code generators and linters of the project as
// dependencies; it contains no code.
package tools
