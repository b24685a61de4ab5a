package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/expvarhandler"
	"go.uber.org/zap"

	"basilrudder/internal/monotime"
)

const (
	// adminTimeout bounds reading a request and writing its response. A longer one lets
	// a stalled client hold its connection for longer.
	adminTimeout = 5 * time.Second
	pathVars     = "/debug/vars"
	pathStatus   = "/v1/status"
)

// serveAdmin serves metrics and the status of the instance until ctx is cancelled.
func (d *Daemon) serveAdmin(ctx context.Context) error {
	server := &fasthttp.Server{
		Handler:      d.admin,
		Name:         "basilrudder",
		ReadTimeout:  adminTimeout,
		WriteTimeout: adminTimeout,
		Logger:       zap.NewStdLog(d.cfg.Log),
	}
	stopShutdown := context.AfterFunc(ctx, func() { _ = server.Shutdown() })
	defer stopShutdown()
	return server.Serve(d.cfg.Listeners.Admin)
}

func (d *Daemon) admin(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case pathVars:
		expvarhandler.ExpvarHandler(ctx)
	case pathStatus:
		d.serveStatus(ctx)
	default:
		ctx.Error("not found", fasthttp.StatusNotFound)
	}
}

func (d *Daemon) serveStatus(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("application/json")
	if err := json.NewEncoder(ctx).Encode(d.Status(monotime.Now())); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
	}
}
