// Package tools declares the code generators and linters that the project
// builds with "go tool"; it contains no code.
package tools
