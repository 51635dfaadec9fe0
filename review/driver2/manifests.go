//go:build review

package main

// manifest has a service of model workers, and one tenant with a prepaid total.
func manifest(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-chat", "hostname": hostName, "path_prefix": "/chat/", "route_type": "streaming", "timeout_ms": 15000, "slo_ms": 800, "priority": 0,
			"backend": "llm", "max_attempts": 2, "public": false, "sticky": true, "resumable": false, "target_gap_ms": 300,
		}},
		"backends": []any{map[string]any{
			"name": "llm", "health_path": "/healthz", "max_conns": 360, "protocol": "h1", "tls": false,
			"runtime": map[string]any{"capacity": 64, "kv_capacity": 711546, "kv_bytes": 18432, "link_mbps": 130000.0, "stride": stride, "most": 12},
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "tenant-a", "api_keys": []string{"key-a"}, "priority": 1, "reserved": reserved}},
	}
}

// plainManifest has a service for bookings and one for lookups, and no tenants.
func plainManifest(version int) map[string]any {
	route := func(name, prefix, kind, service string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "hostname": hostName, "path_prefix": prefix, "route_type": kind, "timeout_ms": 3000, "slo_ms": 300, "priority": 0,
			"backend": service, "max_attempts": attempts, "public": true,
		}
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false}
	}
	return map[string]any{
		"version":  version,
		"routes":   []any{route("r-book", "/book/", "unsafe", "desk", 2), route("r-look", "/look/", "safe", "stock", 2)},
		"backends": []any{service("desk"), service("stock")},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{},
	}
}
