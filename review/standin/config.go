package main

import (
	"fmt"
	"net"
)

// route returns a route as the operator writes it.
func route(name, kind, service string, attempts, timeoutMS, goalMS int, more map[string]any) map[string]any {
	out := map[string]any{
		"name": name, "host": hostName, "prefix": "/" + name + "/", "type": kind, "service": service, "attempts": attempts,
		"timeoutMs": timeoutMS, "goalMs": goalMS, "priority": 1, "public": false,
	}
	for key, value := range more {
		out[key] = value
	}
	return out
}

// putConfig writes the only configuration of a case.
func (d *deployment) putConfig(routes, services []map[string]any) {
	d.store.put("op/config", map[string]any{
		"version": 7, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "tenant-a", "apiKeys": []string{tenantKey}, "priority": 1}},
	})
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 370, "protocol": "h1", "tls": false}
}

func modelService(name string, slots int) map[string]any {
	out := plainService(name)
	out["runtime"] = map[string]any{
		"batchSlots": slots, "kvCapacity": 574298, "kvTokenBytes": 35136, "linkMbps": 740000.0, "strideLen": 2, "most": 12,
		"pinMs": 4000.0, "holdMs": 2000.0, "kvHandleS": 5.0, "modelList": []map[string]any{{"name": "m"}},
	}
	return out
}

// startServers starts servers of a service, spread over the zones.
func (d *deployment) startServers(service string, n, slots int, args ...string) (out []*serverProcess, err error) {
	for i := range n {
		port, err := freePort("127.0.0.1")
		if err != nil {
			return nil, err
		}
		s := &serverProcess{
			id: fmt.Sprintf("i-%s-%d", service, i+1), service: service, zone: zones[i%len(zones)],
			address: net.JoinHostPort("127.0.0.1", port), slots: slots, args: args,
		}
		if err := d.startServer(s); err != nil {
			return nil, err
		}
		out = append(out, s)
	}
	return out, nil
}
