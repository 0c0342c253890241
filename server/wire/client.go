package wire

import "connectrpc.com/connect"

// NoCompression returns the option that disables compression. The messages between daemons are small
// and frequent, so the saved traffic does not justify the CPU time.
func NoCompression() connect.ClientOption {
	return connect.WithAcceptCompression("gzip", nil, nil)
}
