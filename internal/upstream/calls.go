package upstream

import (
	"context"
	"encoding/json"
	"net/url"
	"strconv"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"basilrudder/internal/enginehttp"
	"basilrudder/internal/schema/engineapi"
	"basilrudder/internal/verdict"
)

// Cancel ends a request at its engine. A request that the engine does not know
// counts as ended.
func (c *Client) Cancel(ctx context.Context, target Target, requestID string) *verdict.Error {
	path := enginehttp.PathStreams + url.PathEscape(requestID)
	_, err := c.call(ctx, target, request{KindCancel, fasthttp.MethodDelete, path, nil}, nil)
	return err
}

// Load reads an engine's load report, which lags.
func (c *Client) Load(ctx context.Context, target Target) (engineapi.LoadReport, *verdict.Error) {
	var report engineapi.LoadReport
	_, err := c.call(ctx, target, request{KindLoad, fasthttp.MethodGet, enginehttp.PathLoad, nil}, &report)
	return report, err
}

// CacheEvents reads an engine's cache events from a sequence number on. They
// come late and with gaps.
func (c *Client) CacheEvents(ctx context.Context, target Target, after int) (engineapi.CacheEvents, *verdict.Error) {
	var events engineapi.CacheEvents
	path := enginehttp.PathCacheEvents + "?" + enginehttp.QueryAfter + "=" + strconv.Itoa(after)
	_, err := c.call(ctx, target, request{KindCacheEvents, fasthttp.MethodGet, path, nil}, &events)
	return events, err
}

// Order sends an order. An answer that was not accepted is no error: it tells
// the fencing number that the engine has seen.
func (c *Client) Order(ctx context.Context, target Target, order engineapi.Order) (engineapi.OrderAnswer, *verdict.Error) {
	var answer engineapi.OrderAnswer
	body, err := json.Marshal(order)
	if err != nil {
		return answer, verdict.Wrap(verdict.NotRun, verdict.ReasonInternal, err)
	}
	_, failure := c.call(ctx, target, request{KindOrder, fasthttp.MethodPost, enginehttp.PathOrders, body}, &answer)
	return answer, failure
}

// Holds reads what an engine holds, without an order.
func (c *Client) Holds(ctx context.Context, target Target) (engineapi.OrderAnswer, *verdict.Error) {
	var answer engineapi.OrderAnswer
	_, err := c.call(ctx, target, request{KindHolds, fasthttp.MethodGet, enginehttp.PathOrders, nil}, &answer)
	return answer, err
}

// request is a control call to make.
type request struct {
	kind   Kind
	method string
	path   string
	body   []byte
}

// call makes a control call, whose repetition is harmless: orders and cancels
// are idempotent. So one that fails on a connection used before, without a
// byte of an answer, is made once more on a new connection.
func (c *Client) call(ctx context.Context, target Target, r request, into any) (int, *verdict.Error) {
	status, retry, err := c.callOnce(ctx, target, r, into, false)
	if retry && ctx.Err() == nil {
		status, _, err = c.callOnce(ctx, target, r, into, true)
	}
	return status, err
}

func (c *Client) callOnce(ctx context.Context, target Target, r request, into any, fresh bool) (status int, retry bool, failure *verdict.Error) {
	req := newRequest(target, r.method, r.path)
	defer fasthttp.ReleaseRequest(req)
	req.Header.Set(enginehttp.HeaderEngine, target.Engine)
	if r.body != nil {
		req.Header.SetContentType(enginehttp.TypeJSON)
		req.SetBodyRaw(r.body)
	}
	x, failure := c.open(ctx, target, r.kind, fresh)
	if failure != nil {
		return 0, false, failure
	}
	if failure = x.send(req, c.cfg.FirstByteTimeout); failure != nil {
		return 0, x.conn.reused && x.conn.received == 0, failure
	}
	status = x.resp.StatusCode()
	if !controlAnswer(status, into) {
		return status, false, x.refused()
	}
	return status, false, x.decode(into)
}

// controlAnswer reports whether the status comes with the answer that the call
// wants. 409 carries the answer to an order that was not accepted; 404 to a
// cancel means that there is nothing to cancel.
func controlAnswer(status int, into any) bool {
	switch status {
	case fasthttp.StatusOK:
		return true
	case fasthttp.StatusNoContent, fasthttp.StatusNotFound:
		return into == nil
	case fasthttp.StatusConflict:
		_, order := into.(*engineapi.OrderAnswer)
		return order
	default:
		return false
	}
}

func (x *exchange) decode(into any) *verdict.Error {
	if err := x.readBody(controlLimit); err != nil {
		return x.failed(err, "read answer")
	}
	if into != nil {
		if err := json.Unmarshal(x.resp.Body(), into); err != nil {
			return x.failed(errors.Wrap(err, "decode"), "read answer")
		}
	}
	x.finish()
	return nil
}
