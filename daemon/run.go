package daemon

import (
	"context"
	"os/signal"
	"syscall"
)

// SignalContext returns a context that ends at SIGTERM or SIGINT.
func SignalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}
