package platform

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"basilrudder/internal/schema/platformapi"
	"basilrudder/internal/timer"
)

// Paths of the protocol. The path of a value is pathValues followed by its key. Clients use
// the same paths; any other one is answered with 404.
const (
	pathValues    = "/v1/values/"
	pathWatch     = "/v1/watch"
	pathInstances = "/v1/instances"
)

// maxWatchWait is the maximum wait of a watch; one that requests more is answered with 204
// after this time. Below half of the wait that an instance requests, the instance assumes a
// service that does not wait and delays its next watch.
const maxWatchWait = time.Minute

// handle serves one call of the protocol.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	served, ok := s.admit(path)
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	switch {
	case strings.HasPrefix(path, pathValues):
		value, found := served.values[strings.TrimPrefix(path, pathValues)]
		if !found {
			ctx.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
		ctx.SetContentType("application/octet-stream")
		ctx.SetBody(value)
	case path == pathInstances:
		writeJSON(ctx, served.instances)
	case path == pathWatch:
		s.watch(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// admit counts a call and returns the snapshot to serve. It waits while the mode is
// Hanging. It returns false if the mode is Down or the server stops.
func (s *Server) admit(path string) (*snapshot, bool) {
	s.mu.Lock()
	switch {
	case strings.HasPrefix(path, pathValues):
		s.calls.Values++
	case path == pathInstances:
		s.calls.Instances++
	case path == pathWatch:
		s.calls.Watches++
	}
	s.mu.Unlock()
	for {
		served, mode, changed := s.state()
		if mode != Hanging {
			return served, mode != Down
		}
		select {
		case <-changed:
		case <-s.Stopped():
			return nil, false
		}
	}
}

// state returns the served snapshot, the mode, and a channel that is closed when either
// changes.
func (s *Server) state() (*snapshot, Mode, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served, s.mode, s.changed
}

// watch answers once the served revision or instance list is newer than the one that the
// caller sent, or with 204 after the caller's timeout. The timeout has no effect while the
// mode is Hanging.
func (s *Server) watch(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	revision := args.GetUintOrZero("revision")
	instances := args.GetUintOrZero("instances")
	wait := min(time.Duration(args.GetUintOrZero("timeout_ms"))*time.Millisecond, maxWatchWait)
	end := timer.New(wait)
	defer end.Stop()
	for {
		served, mode, changed := s.state()
		if mode == Down {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			return
		}
		if mode != Hanging && (served.revision > revision || served.instances.Version > instances) {
			writeJSON(ctx, platformapi.WatchAnswer{
				Revision:         served.revision,
				InstancesVersion: served.instances.Version,
			})
			return
		}
		timeout := end.C
		if mode == Hanging {
			timeout = nil
		}
		select {
		case <-changed:
		case <-timeout:
			ctx.SetStatusCode(fasthttp.StatusNoContent)
			return
		case <-s.Stopped():
			return
		}
	}
}

// writeJSON answers with the body as JSON.
func writeJSON(ctx *fasthttp.RequestCtx, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}
