// Package membership maintains the table of control daemons that a daemon has received reports
// from, and assigns the load report of each target to one of them. It performs no I/O.
package membership
