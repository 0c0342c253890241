package daemon

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

// Field names of log lines. Each name has one meaning in all binaries.
const (
	FieldVM            = "vm"
	FieldDataCentre    = "data_centre"
	FieldComponent     = "component"
	FieldRequest       = "request_id"
	FieldTarget        = "target"
	FieldService       = "service"
	FieldWorkspace     = "workspace"
	FieldRevision      = "revision"
	FieldOffset        = "offset"
	FieldStream        = "stream"
	FieldReason        = "reason"
	FieldFencingNumber = "fencing_number"
	FieldOrder         = "order"
	FieldAddress       = "address"
)

// NewLogger returns a logger that writes JSON lines. The level is one of debug,
// info, warning and error; any other value means info.
func NewLogger(w io.Writer, level, component string) *logrus.Entry {
	l := logrus.New()
	l.SetOutput(w)
	l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	if v, err := logrus.ParseLevel(level); err == nil {
		l.SetLevel(v)
	}
	return l.WithField(FieldComponent, component)
}
