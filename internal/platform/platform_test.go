package platform

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"basilrudder/internal/schema/platformapi"
)

const testTimeout = 5 * time.Second

// serve runs a handler on an in-memory listener and returns a client of it.
func serve(t *testing.T, handler fasthttp.RequestHandler) *Client {
	t.Helper()
	listener := fasthttputil.NewInmemoryListener()
	served := make(chan error, 1)
	go func() { served <- fasthttp.Serve(listener, handler) }()
	t.Cleanup(func() {
		_ = listener.Close()
		<-served
	})
	return New(Config{
		Address: "platform:80",
		Timeout: testTimeout,
		Dial:    func(string) (net.Conn, error) { return listener.Dial() },
	})
}

func TestReads(t *testing.T) {
	client := serve(t, func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case "/v1/values/manifest":
			ctx.SetBodyString(`{"revision":3}`)
		case "/v1/watch":
			if string(ctx.QueryArgs().Peek("revision")) != "2" {
				ctx.SetStatusCode(fasthttp.StatusNoContent)
				return
			}
			ctx.SetBodyString(`{"revision":3,"instances_version":` + string(ctx.QueryArgs().Peek("instances")) + `}`)
		case "/v1/instances":
			ctx.SetBodyString(`{"version":4,"instances":[
				{"id":"a","data_centre":"dc","caller_address":"10.0.0.1:80","peer_address":"10.0.0.1:81","state":"live"},
				{"id":"a","data_centre":"dc","caller_address":"10.0.0.1:80","peer_address":"10.0.0.1:81","state":"live"},
				{"id":"b","data_centre":"dc","caller_address":"nowhere","peer_address":"10.0.0.1:81","state":"live"},
				{"id":"c","data_centre":"dc","caller_address":"10.0.0.1:80","peer_address":"10.0.0.1:81","state":"odd"}]}`)
		default:
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		}
	})
	ctx := t.Context()
	manifest, err := client.Manifest(ctx)
	if err != nil || string(manifest) != `{"revision":3}` {
		t.Errorf("manifest %q, %v", manifest, err)
	}
	got, err := client.Watch(ctx, 2, 9, time.Millisecond)
	if diff := cmp.Diff(&platformapi.WatchAnswer{Revision: 3, InstancesVersion: 9}, got); diff != "" || err != nil {
		t.Error(diff, err)
	}
	if got, err := client.Watch(ctx, 3, 9, time.Millisecond); got != nil || err != nil {
		t.Errorf("nothing newer: %v, %v", got, err)
	}
	list, skipped, err := client.Instances(ctx)
	if err != nil || len(list.Instances) != 1 || skipped != 3 || list.Version != 4 {
		t.Errorf("list %v, skipped %d, %v", list, skipped, err)
	}
	missing := map[string]error{"none": ErrNotFound, "a/b": ErrNotFound, "../instances": ErrInvalid, "": ErrInvalid}
	for key, want := range missing {
		if _, err := client.Value(ctx, key); !errors.Is(err, want) {
			t.Errorf("value %q: %v", key, err)
		}
	}
}

func TestUnavailableAndOversizedAnswers(t *testing.T) {
	client := serve(t, func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == "/v1/values/big" {
			ctx.SetBodyString(strings.Repeat("x", MaxValueBytes+1))
			return
		}
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	})
	for _, key := range []string{"big", "other"} {
		if _, err := client.Value(t.Context(), key); !errors.Is(err, ErrUnavailable) {
			t.Errorf("value %q: %v", key, err)
		}
	}
	if _, err := client.Watch(t.Context(), 1, 1, 0); !errors.Is(err, ErrUnavailable) {
		t.Errorf("watch: %v", err)
	}
}

func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	// A connection loses its state between the two ends: the request is sent, but neither
	// an answer nor a reset arrives. The read must end by its timeout, and the next one
	// must use a new connection.
	listener := fasthttputil.NewInmemoryListener()
	served := make(chan error, 1)
	go func() {
		served <- fasthttp.Serve(listener, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("value") })
	}()
	defer func() {
		_ = listener.Close()
		<-served
	}()
	dials := 0
	client := New(Config{
		Address: "platform:80",
		Timeout: 20 * time.Millisecond,
		Dial: func(string) (net.Conn, error) {
			dials++
			if dials == 1 {
				return fasthttputil.NewPipeConns().Conn1(), nil
			}
			return listener.Dial()
		},
	})
	if _, err := client.Value(t.Context(), "a"); !errors.Is(err, ErrUnavailable) {
		t.Fatalf("unresponsive connection: %v", err)
	}
	client.timeout = testTimeout
	if got, err := client.Value(t.Context(), "a"); err != nil || string(got) != "value" {
		t.Errorf("after it: %q, %v", got, err)
	}
}

func TestAWatchEndsWithItsContext(t *testing.T) {
	release := make(chan struct{})
	arrived := make(chan struct{})
	client := serve(t, func(ctx *fasthttp.RequestCtx) {
		close(arrived)
		<-release
	})
	defer close(release)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	if _, err := client.Watch(ctx, 1, 1, time.Hour); !errors.Is(err, context.Canceled) {
		t.Errorf("watch: %v", err)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"revision":3,"instances_version":1}`))
	f.Add([]byte(`{"version":4,"instances":[{"id":"a","data_centre":"dc","caller_address":"[::1]:80","peer_address":":","state":"live"}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		if answer, err := decodeWatch(body); err == nil && (answer.Revision < 0 || answer.InstancesVersion < 0) {
			t.Errorf("watch %+v", answer)
		}
		list, skipped, err := decodeInstances(body)
		if err != nil {
			return
		}
		if list.Version < 0 || skipped < 0 {
			t.Errorf("list %+v, skipped %d", list, skipped)
		}
		for _, instance := range list.Instances {
			if !validInstance(instance) {
				t.Errorf("instance %+v", instance)
			}
		}
	})
}
