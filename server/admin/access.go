package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"connectrpc.com/connect"

	"github.com/lentilpick/lentilpick/configuration"
	"github.com/lentilpick/lentilpick/server/control"
)

// operator is the caller of the API. The zero value represents a caller of an API without credentials,
// who may change all objects.
type operator struct {
	name       string
	workspaces []string // that the operator may change; empty means all objects
}

// credential stores only a digest of the token, so that the token cannot appear in an error or a log
// line, and all comparisons have the same length.
type credential struct {
	digest   [sha256.Size]byte
	operator operator
}

func credentials(s *control.Settings) []credential {
	var out []credential
	if s.AdminToken != "" {
		out = append(out, credential{sha256.Sum256([]byte(s.AdminToken)), operator{name: control.AdminOperator}})
	}
	for _, o := range s.Operators {
		out = append(out, credential{sha256.Sum256([]byte(o.Token)), operator{o.Name, o.Workspaces}})
	}
	return out
}

// findOperator returns the operator of a token. It compares the token with all credentials, so that
// its duration does not depend on which one matches.
func findOperator(list []credential, token string) (op operator, ok bool) {
	digest := sha256.Sum256([]byte(token))
	for _, c := range list {
		if subtle.ConstantTimeCompare(c.digest[:], digest[:]) == 1 {
			op, ok = c.operator, true
		}
	}
	return op, ok
}

// mayChange returns a PermissionDenied error unless the operator may change the object.
func (o operator) mayChange(ch *configuration.Change) error {
	if len(o.workspaces) == 0 {
		return nil
	}
	if ch.Kind == configuration.ObjectWorkspace && slices.Contains(o.workspaces, ch.ObjectID) {
		return nil
	}
	return connect.NewError(connect.CodePermissionDenied, fmt.Errorf("operator %q may not change %s %q; ask an operator without a list of workspaces",
		o.name, ch.Kind, ch.ObjectID))
}

type operatorKey struct{}

func operatorFromContext(ctx context.Context) operator {
	op, _ := ctx.Value(operatorKey{}).(operator)
	return op
}

// authenticate wraps next with a check of the bearer token and adds the operator to the request's
// context. Without credentials, all requests are accepted.
func authenticate(list []credential, a *audit, next http.Handler) http.Handler {
	if len(list) == 0 {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		op, ok := findOperator(list, token)
		if !ok {
			a.recordUnauthenticated(r.RemoteAddr)
			http.Error(w, "a bearer token is required", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, op)))
	})
}
