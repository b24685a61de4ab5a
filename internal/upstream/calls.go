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

// Cancel ends a request at its engine. A request that is unknown to the engine counts as
// ended.
func (c *Client) Cancel(ctx context.Context, target Target, requestID string) *verdict.Error {
	path := enginehttp.PathStreams + url.PathEscape(requestID)
	_, err := c.controlCall(ctx, target, controlRequest{KindCancel, fasthttp.MethodDelete, path, nil}, nil)
	return err
}

// LoadReport reads an engine's load report, which lags behind the engine's state.
func (c *Client) LoadReport(ctx context.Context, target Target) (engineapi.LoadReport, *verdict.Error) {
	var report engineapi.LoadReport
	_, err := c.controlCall(ctx, target, controlRequest{KindLoad, fasthttp.MethodGet, enginehttp.PathLoad, nil}, &report)
	return report, err
}

// CacheEvents reads an engine's cache events, starting at a sequence number. Events
// arrive late and some are missing.
func (c *Client) CacheEvents(ctx context.Context, target Target, after int) (engineapi.CacheEvents, *verdict.Error) {
	var events engineapi.CacheEvents
	path := enginehttp.PathCacheEvents + "?" + enginehttp.QueryAfter + "=" + strconv.Itoa(after)
	_, err := c.controlCall(ctx, target, controlRequest{KindCacheEvents, fasthttp.MethodGet, path, nil}, &events)
	return events, err
}

// Order sends an order to an engine. An order that the engine does not accept is not an
// error: the answer then contains the highest fencing number that the engine has seen.
func (c *Client) Order(ctx context.Context, target Target, order engineapi.Order) (engineapi.OrderAnswer, *verdict.Error) {
	var answer engineapi.OrderAnswer
	body, err := json.Marshal(order)
	if err != nil {
		return answer, verdict.Wrap(verdict.NotRun, verdict.ReasonInternal, err)
	}
	_, failure := c.controlCall(ctx, target, controlRequest{KindOrder, fasthttp.MethodPost, enginehttp.PathOrders, body}, &answer)
	return answer, failure
}

// Holdings reads the models and the role that an engine holds, without sending an order.
func (c *Client) Holdings(ctx context.Context, target Target) (engineapi.OrderAnswer, *verdict.Error) {
	var answer engineapi.OrderAnswer
	_, err := c.controlCall(ctx, target, controlRequest{KindHolds, fasthttp.MethodGet, enginehttp.PathOrders, nil}, &answer)
	return answer, err
}

// controlRequest describes a control call.
type controlRequest struct {
	kind   Kind
	method string
	path   string
	body   []byte
}

// controlCall makes a control call. Control calls can be repeated safely, since orders
// and cancels are idempotent. A call that fails on a reused connection before any byte of
// the answer is therefore retried once on a new connection.
func (c *Client) controlCall(ctx context.Context, target Target, r controlRequest, result any) (int, *verdict.Error) {
	status, retry, err := c.controlCallOnce(ctx, target, r, result, false)
	if retry && ctx.Err() == nil {
		status, _, err = c.controlCallOnce(ctx, target, r, result, true)
	}
	return status, err
}

func (c *Client) controlCallOnce(ctx context.Context, target Target, r controlRequest, result any, forceDial bool) (status int, retry bool, failure *verdict.Error) {
	req := newRequest(target, r.method, r.path)
	defer fasthttp.ReleaseRequest(req)
	req.Header.Set(enginehttp.HeaderEngine, target.Engine)
	if r.body != nil {
		req.Header.SetContentType(enginehttp.TypeJSON)
		req.SetBodyRaw(r.body)
	}
	x, failure := c.open(ctx, target, r.kind, forceDial)
	if failure != nil {
		return 0, false, failure
	}
	if failure = x.send(req, c.cfg.FirstByteTimeout); failure != nil {
		return 0, x.conn.reused && x.conn.received == 0, failure
	}
	status = x.resp.StatusCode()
	if !isExpectedStatus(status, result) {
		return status, false, x.failStatus()
	}
	return status, false, x.decode(result)
}

// isExpectedStatus reports whether an answer with the status can be decoded into result.
// Status 409 carries the answer to an order that was not accepted. Status 404 to a cancel
// means that there is nothing to cancel.
func isExpectedStatus(status int, result any) bool {
	switch status {
	case fasthttp.StatusOK:
		return true
	case fasthttp.StatusNoContent, fasthttp.StatusNotFound:
		return result == nil
	case fasthttp.StatusConflict:
		_, isOrder := result.(*engineapi.OrderAnswer)
		return isOrder
	default:
		return false
	}
}

func (x *exchange) decode(result any) *verdict.Error {
	if err := x.readBody(maxControlBytes); err != nil {
		return x.fail(err, "read answer")
	}
	if result != nil {
		if err := json.Unmarshal(x.resp.Body(), result); err != nil {
			return x.fail(errors.Wrap(err, "decode"), "read answer")
		}
	}
	x.finish()
	return nil
}
