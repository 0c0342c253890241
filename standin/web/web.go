// Package web provides the code shared by the HTTP front ends of the stand-ins.
package web

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"
)

// Reply responds with v as JSON.
func Reply(ctx *fasthttp.RequestCtx, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		Fail(ctx, fasthttp.StatusInternalServerError, err.Error())
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

// Fail responds with the given status and an error message as JSON.
func Fail(ctx *fasthttp.RequestCtx, status int, message string) {
	Reply(ctx, map[string]string{"error": message})
	ctx.SetStatusCode(status)
}

// Wait blocks for d.
func Wait(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	<-t.C
}
