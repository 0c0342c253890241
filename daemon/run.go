package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

// SignalContext returns a context that is canceled by SIGTERM or SIGINT. It also keeps SIGPIPE from ending
// the process, which it does when a line is written to a standard output or error that no one reads any
// more: when a VM is shut down, the reader of the log may end first.
func SignalContext() (context.Context, context.CancelFunc) {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGPIPE)
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// IgnoreHangup keeps SIGHUP from ending the process, which is what it does by default. A daemon that reads
// its settings only at the start has nothing to do on SIGHUP, but must not lose its requests; the signal
// is logged.
func IgnoreHangup(log *logrus.Entry) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		for range hangups {
			log.Info("SIGHUP ignored: settings are read at the start only")
		}
	}()
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
