package main

import (
	mrand "math/rand/v2"
	"sync"
	"time"
)

// routeOf returns a route of streams in the encoding of the store.
func routeOf(name, prefix, service string) map[string]any {
	return map[string]any{
		"name": name, "host": hostName, "prefix": prefix, "type": "streaming", "timeoutMs": 8000, "goalMs": 800, "priority": 1,
		"service": service, "attempts": 1, "public": false, "sticky": true, "resumable": false, "itlTargetMs": 500,
	}
}

// lookupRoute returns a route of safe requests.
func lookupRoute(name, prefix, service string) map[string]any {
	return map[string]any{
		"name": name, "host": hostName, "prefix": prefix, "type": "safe", "timeoutMs": 3000, "goalMs": 300, "priority": 2,
		"service": service, "attempts": 2, "public": false, "sticky": false, "resumable": false,
	}
}

// configOf returns a configuration with services of model servers, a service of others and routes.
func configOf(version int, services []string, routes ...map[string]any) map[string]any {
	published := []map[string]any{{"name": "wuno96b", "healthPath": "/healthz", "maxConns": 100, "protocol": "h1", "tls": false}}
	for _, name := range services {
		published = append(published, map[string]any{
			"name": name, "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": false,
			"runtime": map[string]any{
				"batchSlots": slotsPerServer, "kvCapacity": 500000, "kvTokenBytes": 35136, "linkMbps": 740000.0, "strideLen": 2,
				"most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "kvHandleS": 5.0, "modelList": []any{map[string]any{"name": "m"}},
			},
		})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": published,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "apiKeys": []string{apiKey}}},
	}
}

// traffic sends requests at a rate until it is stopped, and keeps the answers.
type traffic struct {
	d    *deployment
	stop chan struct{}
	done sync.WaitGroup

	mu      sync.Mutex
	answers []*answer
}

func (d *deployment) startTraffic(perSecond float64, next func() request) *traffic {
	t := &traffic{d: d, stop: make(chan struct{})}
	addresses := d.resolve()
	t.done.Go(func() {
		refreshed := time.Now()
		for {
			select {
			case <-t.stop:
				return
			case <-time.After(time.Duration(mrand.ExpFloat64() / perSecond * float64(time.Second))):
			}
			if time.Since(refreshed) > time.Second {
				if fresh := d.resolve(); len(fresh) > 0 {
					addresses = fresh
				}
				refreshed = time.Now()
			}
			if len(addresses) == 0 {
				continue
			}
			address := addresses[mrand.IntN(len(addresses))]
			t.done.Go(func() {
				a := d.send(address, next())
				t.mu.Lock()
				defer t.mu.Unlock()
				t.answers = append(t.answers, a)
			})
		}
	})
	return t
}

// end stops sending and returns the answers once all have ended.
func (t *traffic) end() []*answer {
	close(t.stop)
	t.done.Wait()
	return t.answers
}
