package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// sizes of a soak; with the seed they decide which faults come when.
type sizes struct {
	length    time.Duration
	instances int
	servers   int
	callers   int
}

// regression is a soak that once broke a promise.
type regression struct {
	seed uint64
	sizes
	cause string
}

// readCases reads lines of a seed, a length, the numbers of instances, servers
// and callers, and the cause; # begins a comment.
func readCases(path string) ([]regression, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var out []regression
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		line := strings.TrimSpace(scanner.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		head, cause, _ := strings.Cut(line, ": ")
		var r regression
		var length string
		if _, err := fmt.Sscan(head, &r.seed, &length, &r.instances, &r.servers, &r.callers); err != nil {
			return nil, errors.Wrapf(err, "%s: %q", path, line)
		}
		if r.length, err = time.ParseDuration(length); err != nil {
			return nil, errors.Wrapf(err, "%s: %q", path, line)
		}
		r.cause = cause
		out = append(out, r)
	}
	return out, scanner.Err()
}
