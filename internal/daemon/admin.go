package daemon

import (
	"context"
	"encoding/json"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/expvarhandler"

	"basilrudder/internal/inbound"
	"basilrudder/internal/monotime"
)

const (
	pathVars   = "/debug/vars"
	pathStatus = "/v1/status"
)

// serveAdmin serves metrics and the status of the instance until ctx is cancelled.
func (d *Daemon) serveAdmin(ctx context.Context) error {
	server := inbound.ControlServer(d.admin, d.control, d.cfg.Log)
	stopShutdown := context.AfterFunc(ctx, func() { _ = server.Shutdown() })
	defer stopShutdown()
	return server.Serve(d.control.Listener(d.cfg.Listeners.Admin))
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
