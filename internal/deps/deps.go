// Package deps holds the declared libraries in go.mod until their users land.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/alecthomas/kong"
	_ "github.com/fasthttp/websocket"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/google/go-cmp/cmp"
	_ "github.com/pelletier/go-toml/v2"
	_ "github.com/santhosh-tekuri/jsonschema/v6"
	_ "github.com/valyala/fasthttp"
	_ "go.uber.org/zap"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/vg/vgsvg"
)
