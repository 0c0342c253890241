package localview

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	peerv1 "github.com/lentilpick/lentilpick/api/peer/v1"
	"github.com/lentilpick/lentilpick/api/peer/v1/peerv1connect"

	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/idempotency"
	"github.com/lentilpick/lentilpick/server/wire"
)

// ErrKeyUnavailable reports that the state of a key could not be determined because no control daemon
// or the log was unreachable.
var ErrKeyUnavailable = merry.New("key service is unavailable")

const (
	// streamStallTimeout is the time without data after which a view stream is closed. The control
	// daemon sends at least one message per second.
	streamStallTimeout = 3 * time.Second
	reconnectDelay     = 200 * time.Millisecond
	dialTimeout        = 2 * time.Second
	callTimeout        = 8 * time.Second
)

// Client calls the first reachable control daemon of a list. It is safe for concurrent use.
type Client struct {
	vm        string
	store     *Store
	log       *logrus.Entry
	clients   []peerv1connect.ViewServiceClient
	addresses []string     // of the clients
	current   atomic.Int64 // index of the client in use
}

// NewClient returns a client of the control daemons at the given addresses, in order of preference.
// Connections are made from the IP address of listen.
func NewClient(vm, listen string, store *Store, addresses []string, log *logrus.Entry) *Client {
	c := &Client{vm: vm, store: store, log: log, addresses: addresses}
	h := &http.Client{Transport: wire.ProgressTransport{RoundTripper: wire.CheckedTransport{RoundTripper: &http.Transport{
		DialContext: daemon.Dialer(listen, dialTimeout).DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second,
	}}}}
	for _, a := range addresses {
		c.clients = append(c.clients, peerv1connect.NewViewServiceClient(h, "http://"+a, wire.NoCompression()))
	}
	return c
}

// Run watches the view until the context ends. After a failure it reconnects to the next address; the
// last view stays in use.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		i := c.current.Load()
		err := c.watch(ctx, c.clients[i])
		if ctx.Err() != nil {
			return
		}
		c.log.WithError(err).WithField(daemon.FieldAddress, c.addresses[i]).Warn("view stream ended")
		c.current.Store((i + 1) % int64(len(c.clients)))
		daemon.Sleep(ctx, reconnectDelay)
	}
}

func (c *Client) watch(ctx context.Context, peer peerv1connect.ViewServiceClient) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stallTimer := time.AfterFunc(streamStallTimeout, cancel)
	defer stallTimer.Stop()
	ctx = wire.WithProgress(ctx, func() { stallTimer.Reset(streamStallTimeout) })
	req := &peerv1.WatchViewRequest{Vm: c.vm, Revision: uint64(c.store.Load().Config.Revision)}
	stream, err := peer.WatchView(ctx, connect.NewRequest(req))
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		if err := c.store.Update(stream.Msg(), time.Now()); err != nil {
			c.log.WithError(err).Error("failed to decode the configuration from the control daemon")
		}
	}
	return stream.Err()
}

func (c *Client) currentClient() peerv1connect.ViewServiceClient { return c.clients[c.current.Load()] }

// callFirstAvailable calls the control daemons in turn, the current one first, until one succeeds.
// Each call except the last is limited to three quarters of the remaining time, so that an
// unresponsive daemon leaves time to call another one.
func callFirstAvailable[T any](ctx context.Context, c *Client, call func(context.Context, peerv1connect.ViewServiceClient) (T, error)) (response T, err error) {
	n, start := len(c.clients), int(c.current.Load())
	for i := range n {
		response, err = callWithTimeout(ctx, attemptTimeout(ctx, i == n-1), c.clients[(start+i)%n], call)
		if err == nil || ctx.Err() != nil {
			break
		}
	}
	return response, err
}

func attemptTimeout(ctx context.Context, last bool) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return callTimeout
	}
	if last {
		return time.Until(deadline)
	}
	return time.Until(deadline) * 3 / 4
}

func callWithTimeout[T any](ctx context.Context, timeout time.Duration, p peerv1connect.ViewServiceClient, call func(context.Context, peerv1connect.ViewServiceClient) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return call(ctx, p)
}

// ReportLoad sends a load report of this daemon to the current control daemon.
func (c *Client) ReportLoad(ctx context.Context, r *peerv1.ReportLoadRequest) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := c.currentClient().ReportLoad(ctx, connect.NewRequest(r))
	return err
}

// Claim requests the verdict whether a keyed request may run. Errors wrap ErrKeyUnavailable; the
// attempt may then have claimed the key, but nothing has run. Claims of one attempt at several
// control daemons are harmless.
func (c *Client) Claim(ctx context.Context, k idempotency.Key, attempt string, digest uint64) (idempotency.Verdict, *idempotency.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := &peerv1.ClaimKeyRequest{Key: wire.ToKey(k), Attempt: attempt, Digest: digest}
	resp, err := callFirstAvailable(ctx, c, func(ctx context.Context, p peerv1connect.ViewServiceClient) (*connect.Response[peerv1.ClaimKeyResponse], error) {
		return p.ClaimKey(ctx, connect.NewRequest(req))
	})
	if err != nil {
		return 0, nil, merry.Wrap(ErrKeyUnavailable, merry.WithCause(err))
	}
	v, ok := keyVerdicts[resp.Msg.GetVerdict()]
	if !ok {
		return 0, nil, ErrKeyUnavailable
	}
	return v, wire.FromResponse(resp.Msg.GetAnswer()), nil
}

var keyVerdicts = map[peerv1.KeyVerdict]idempotency.Verdict{
	peerv1.KeyVerdict_KEY_VERDICT_RUN:         idempotency.VerdictRun,
	peerv1.KeyVerdict_KEY_VERDICT_IN_PROGRESS: idempotency.VerdictInProgress,
	peerv1.KeyVerdict_KEY_VERDICT_COMPLETED:   idempotency.VerdictCompleted,
	peerv1.KeyVerdict_KEY_VERDICT_UNKNOWN:     idempotency.VerdictUnknown,
	peerv1.KeyVerdict_KEY_VERDICT_CONFLICT:    idempotency.VerdictConflict,
	peerv1.KeyVerdict_KEY_VERDICT_LOG_DOWN:    idempotency.VerdictLogDown,
}

// Finish records the end of an attempt and returns once it is in the log. Only ctx bounds the wait,
// since the log may be unavailable for a long time. Errors wrap ErrKeyUnavailable; the end may then
// still reach the log.
func (c *Client) Finish(ctx context.Context, k idempotency.Key, attempt string, end idempotency.Kind, a *idempotency.Response) error {
	req := &peerv1.FinishKeyRequest{Key: wire.ToKey(k), Attempt: attempt, End: keyEnds[end], Answer: wire.ToResponse(a)}
	_, err := callFirstAvailable(ctx, c, func(ctx context.Context, p peerv1connect.ViewServiceClient) (*connect.Response[peerv1.FinishKeyResponse], error) {
		return p.FinishKey(ctx, connect.NewRequest(req))
	})
	if err != nil {
		return merry.Wrap(ErrKeyUnavailable, merry.WithCause(err))
	}
	return nil
}

var keyEnds = map[idempotency.Kind]peerv1.KeyEnd{
	idempotency.KindReleased:  peerv1.KeyEnd_KEY_END_RELEASED,
	idempotency.KindCompleted: peerv1.KeyEnd_KEY_END_COMPLETED,
	idempotency.KindUnknown:   peerv1.KeyEnd_KEY_END_UNKNOWN,
}
