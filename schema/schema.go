// Package schema holds the JSON Schemas of everything that crosses a border of
// the system: messages, settings, published values, accounting records. Go
// types are generated from them into internal/schema.
package schema

import "embed"

// Files holds every schema by file name.
//
//go:embed *.json
var Files embed.FS
