package admin

import (
	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	"github.com/lentilpick/lentilpick/configuration"
	"github.com/lentilpick/lentilpick/daemon"
)

const (
	fieldOperator = "operator"
	fieldKind     = "object_kind"
	fieldObject   = "object_id"
	fieldChange   = "change_id"
)

// Reasons why a call or change was not accepted; reasonNames has the same order.
const (
	reasonUnauthenticated = iota
	reasonNotPermitted
	reasonInvalid
	reasonConflict
	reasonNotPublished
	reasonUnknown
)

var reasonNames = []string{"unauthenticated", "not_permitted", "invalid", "conflict", "not_published", "unknown"}

var reasonByCode = map[connect.Code]int{
	connect.CodePermissionDenied: reasonNotPermitted,
	connect.CodeInvalidArgument:  reasonInvalid,
	connect.CodeAborted:          reasonConflict,
	connect.CodeUnavailable:      reasonNotPublished,
}

// audit logs and counts calls and changes that were not accepted.
type audit struct {
	log      *logrus.Entry
	refusals *daemon.ReasonCounter
}

func newAudit(m *daemon.Metrics, log *logrus.Entry) (*audit, error) {
	c, err := m.NewReasonCounter("lentilpick_admin_refusals", "Calls and changes that the administration API did not accept.", reasonNames)
	if err != nil {
		return nil, err
	}
	return &audit{log, c}, nil
}

func (a *audit) recordUnauthenticated(address string) {
	a.refusals.Add(reasonUnauthenticated)
	a.log.WithField(daemon.FieldAddress, address).Warn("request without a valid bearer token")
}

func (a *audit) recordRefusal(op operator, ch *configuration.Change, err error) {
	reason, ok := reasonByCode[connect.CodeOf(err)]
	if !ok {
		reason = reasonUnknown
	}
	a.refusals.Add(reason)
	a.log.WithError(err).WithFields(logrus.Fields{
		fieldOperator: op.name, fieldKind: ch.Kind, fieldObject: ch.ObjectID, fieldChange: ch.ID, daemon.FieldReason: reasonNames[reason],
	}).Warn("change was not accepted")
}
