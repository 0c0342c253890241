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

// ErrKeyUnavailable reports that nothing is known of a key because no control
// daemon or the log could not be reached.
var ErrKeyUnavailable = merry.New("key service is unavailable")

const (
	// streamSilence is the longest time without a message on a live stream; the
	// control daemon sends at least one a second.
	streamSilence = 3 * time.Second
	reconnect     = 200 * time.Millisecond
	dialTimeout   = 2 * time.Second
	callTimeout   = 8 * time.Second
)

// Client talks to the first reachable control daemon of a list. It is safe for
// concurrent use.
type Client struct {
	vm      string
	store   *Store
	log     *logrus.Entry
	clients []peerv1connect.ViewServiceClient
	names   []string
	current atomic.Int64
}

// NewClient returns a client of the control daemons at the given addresses, in
// order of preference. Connections come from the IP address of listen.
func NewClient(vm, listen string, store *Store, addresses []string, log *logrus.Entry) *Client {
	c := &Client{vm: vm, store: store, log: log, names: addresses}
	h := &http.Client{Transport: &http.Transport{
		DialContext: daemon.Dialer(listen, dialTimeout).DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second,
	}}
	for _, a := range addresses {
		c.clients = append(c.clients, peerv1connect.NewViewServiceClient(h, "http://"+a, wire.NoCompression()))
	}
	return c
}

// Run watches the view until the context ends. After a failure it goes on with
// the next address; the last view stays in use.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		i := c.current.Load()
		err := c.watch(ctx, c.clients[i])
		if ctx.Err() != nil {
			return
		}
		c.log.WithError(err).WithField(daemon.FieldAddress, c.names[i]).Warn("view stream ended")
		c.current.Store((i + 1) % int64(len(c.clients)))
		daemon.Sleep(ctx, reconnect)
	}
}

func (c *Client) watch(ctx context.Context, peer peerv1connect.ViewServiceClient) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(streamSilence, cancel)
	defer silence.Stop()
	req := &peerv1.WatchViewRequest{Vm: c.vm, Revision: uint64(c.store.Load().Config.Revision)}
	stream, err := peer.WatchView(ctx, connect.NewRequest(req))
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		silence.Reset(streamSilence)
		if err := c.store.Update(stream.Msg(), time.Now()); err != nil {
			c.log.WithError(err).Error("configuration from the control daemon does not decode")
		}
	}
	return stream.Err()
}

func (c *Client) client() peerv1connect.ViewServiceClient { return c.clients[c.current.Load()] }

// firstAnswer asks the control daemons, the current one first, until one
// answers. Each but the last gets three quarters of the time that is left, so
// that one that does not answer leaves time to ask another.
func firstAnswer[T any](ctx context.Context, c *Client, ask func(context.Context, peerv1connect.ViewServiceClient) (T, error)) (answer T, err error) {
	n, start := len(c.clients), int(c.current.Load())
	for i := range n {
		answer, err = askFor(ctx, timeShare(ctx, i == n-1), c.clients[(start+i)%n], ask)
		if err == nil || ctx.Err() != nil {
			break
		}
	}
	return answer, err
}

func timeShare(ctx context.Context, last bool) time.Duration {
	d, ok := ctx.Deadline()
	if !ok {
		return callTimeout
	}
	if last {
		return time.Until(d)
	}
	return time.Until(d) * 3 / 4
}

func askFor[T any](ctx context.Context, limit time.Duration, p peerv1connect.ViewServiceClient, ask func(context.Context, peerv1connect.ViewServiceClient) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return ask(ctx, p)
}

// ReportLoad sends what this daemon has in flight.
func (c *Client) ReportLoad(ctx context.Context, r *peerv1.ReportLoadRequest) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := c.client().ReportLoad(ctx, connect.NewRequest(r))
	return err
}

// Claim asks whether a keyed request may run. The error wraps
// ErrKeyUnavailable; then the key may be claimed by this attempt, but nothing
// has run. Asking several control daemons for one attempt is harmless.
func (c *Client) Claim(ctx context.Context, k idempotency.Key, attempt string, digest uint64) (idempotency.Verdict, *idempotency.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := &peerv1.ClaimKeyRequest{Key: wire.ToKey(k), Attempt: attempt, Digest: digest}
	resp, err := firstAnswer(ctx, c, func(ctx context.Context, p peerv1connect.ViewServiceClient) (*connect.Response[peerv1.ClaimKeyResponse], error) {
		return p.ClaimKey(ctx, connect.NewRequest(req))
	})
	if err != nil {
		return 0, nil, merry.Wrap(ErrKeyUnavailable, merry.WithCause(err))
	}
	v, ok := verdicts[resp.Msg.GetVerdict()]
	if !ok {
		return 0, nil, ErrKeyUnavailable
	}
	return v, wire.FromResponse(resp.Msg.GetAnswer()), nil
}

var verdicts = map[peerv1.KeyVerdict]idempotency.Verdict{
	peerv1.KeyVerdict_KEY_VERDICT_RUN:         idempotency.VerdictRun,
	peerv1.KeyVerdict_KEY_VERDICT_IN_PROGRESS: idempotency.VerdictInProgress,
	peerv1.KeyVerdict_KEY_VERDICT_COMPLETED:   idempotency.VerdictCompleted,
	peerv1.KeyVerdict_KEY_VERDICT_UNKNOWN:     idempotency.VerdictUnknown,
	peerv1.KeyVerdict_KEY_VERDICT_CONFLICT:    idempotency.VerdictConflict,
	peerv1.KeyVerdict_KEY_VERDICT_LOG_DOWN:    idempotency.VerdictLogDown,
}

// Finish records the end of an attempt and returns once it is in the log. It
// waits as long as the context allows, since an outage of the log may last. The
// error wraps ErrKeyUnavailable; the end may then still reach the log.
func (c *Client) Finish(ctx context.Context, k idempotency.Key, attempt string, end idempotency.Kind, a *idempotency.Response) error {
	req := &peerv1.FinishKeyRequest{Key: wire.ToKey(k), Attempt: attempt, End: ends[end], Answer: wire.ToResponse(a)}
	_, err := firstAnswer(ctx, c, func(ctx context.Context, p peerv1connect.ViewServiceClient) (*connect.Response[peerv1.FinishKeyResponse], error) {
		return p.FinishKey(ctx, connect.NewRequest(req))
	})
	if err != nil {
		return merry.Wrap(ErrKeyUnavailable, merry.WithCause(err))
	}
	return nil
}

var ends = map[idempotency.Kind]peerv1.KeyEnd{
	idempotency.KindReleased:  peerv1.KeyEnd_KEY_END_RELEASED,
	idempotency.KindCompleted: peerv1.KeyEnd_KEY_END_COMPLETED,
	idempotency.KindUnknown:   peerv1.KeyEnd_KEY_END_UNKNOWN,
}
