package web

import (
	"bufio"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	minStreamInterval = 50 * time.Millisecond
	maxStreamInterval = time.Minute
)

// Stream sends the values of next as JSON in server-sent events until the client
// disconnects. The query parameter interval_ms sets the interval, bounded to 50 ms
// to 1 min.
func Stream(ctx *fasthttp.RequestCtx, next func() any) {
	interval := time.Duration(ctx.QueryArgs().GetUintOrZero("interval_ms")) * time.Millisecond
	interval = min(max(interval, minStreamInterval), maxStreamInterval)
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for {
			b, err := json.Marshal(next())
			if err != nil {
				return
			}
			_, _ = w.WriteString("data: ")
			_, _ = w.Write(b)
			_, _ = w.WriteString("\n\n")
			if w.Flush() != nil {
				return
			}
			<-tick.C
		}
	})
}
