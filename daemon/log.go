package daemon

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

// Field names of log entries. Each name has the same meaning in all programs.
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

// NewLogger returns a logger that writes one JSON object per line. The level is
// debug, info, warning or error; any other value means info.
func NewLogger(w io.Writer, level, component string) *logrus.Entry {
	l := logrus.New()
	l.SetOutput(w)
	l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	if v, err := logrus.ParseLevel(level); err == nil {
		l.SetLevel(v)
	}
	return l.WithField(FieldComponent, component)
}
