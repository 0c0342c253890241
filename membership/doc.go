// Package membership keeps the table of peers in a data centre and decides
// which daemon reads the load report of which target. It performs no I/O.
package membership
