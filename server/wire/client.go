package wire

import "connectrpc.com/connect"

// NoCompression returns the option that turns compression off. The messages
// between daemons are small and frequent; compressing them costs more CPU time
// than the bytes are worth.
func NoCompression() connect.ClientOption {
	return connect.WithAcceptCompression("gzip", nil, nil)
}
