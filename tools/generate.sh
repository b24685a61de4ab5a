#!/usr/bin/env bash
# Generates the Go types of every schema into internal/schema/<name>.
set -euo pipefail
cd "$(dirname "$0")"
out="${1:-../internal/schema}"
for file in ../schema/*.json; do
	name="$(basename "$file" .json)"
	mkdir -p "$out/$name"
	go tool go-jsonschema --only-models --tags json --minimal-names --struct-name-from-title \
		--capitalization ID,MAC,MS,US,SHA256,API,TTL \
		-p "$name" -o "$out/$name/$name.gen.go" "$file"
done
gofmt -w "$out"/*/*.gen.go
