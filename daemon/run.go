package daemon

import (
	"context"
	"os/signal"
	"syscall"
	"time"
)

// SignalContext returns a context that is canceled by SIGTERM or SIGINT.
func SignalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// Sleep waits for d or until ctx is done. It returns false if ctx ended the wait.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
