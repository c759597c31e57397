package main

// config is the operator's configuration of a small deployment: a plain service for reads and
// writes, and model servers with a stage before them.
func config(version int) map[string]any {
	split := []any{}
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "read", "host": "pule.example", "prefix": "/read/", "route_type": "idempotent", "timeout_ms": 8000, "target_latency_ms": 1500, "priority": 2, "service": "route-register", "split": split, "max_attempts": 2, "public": true},
			map[string]any{"name": "write", "host": "pule.example", "prefix": "/write/", "route_type": "non_idempotent", "timeout_ms": 8000, "target_latency_ms": 1500, "priority": 2, "service": "route-register", "split": split, "max_attempts": 1, "public": true},
			map[string]any{"name": "stream", "host": "pule.example", "prefix": "/stream/", "route_type": "streaming", "timeout_ms": 20000, "target_latency_ms": 2700, "gap_target_ms": 400, "priority": 1, "service": "pimentorill-pool", "split": split, "max_attempts": 2, "resumable": true, "public": true},
			map[string]any{"name": "staged", "host": "pule.example", "prefix": "/staged/", "route_type": "streaming", "timeout_ms": 20000, "target_latency_ms": 10000, "gap_target_ms": 400, "priority": 1, "service": "pimentorill-pool", "split": split, "max_attempts": 1, "resumable": false, "public": true, "sticky": true,
				"stages": []any{map[string]any{"service": "hut-portal", "after": []int{}, "length": 600}}},
		},
		"services": []any{
			map[string]any{"name": "route-register", "max_conns": 110, "health_path": "/healthz", "warmup_s": 0, "warmup_per_s": 0},
			map[string]any{"name": "pimentorill-pool", "max_conns": 370, "health_path": "/healthz", "warmup_s": 3, "warmup_per_s": 11},
			map[string]any{"name": "hut-portal", "max_conns": 370, "health_path": "/healthz", "warmup_s": 0, "warmup_per_s": 0,
				"segments": map[string]any{"slots": 1, "queue": 2, "batch": 50, "call_ms": 200, "item_ms": 3.4, "headroom_mb": 0.65, "handle_s": 4, "link_mbps": 10000}},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 2000, "idle_timeout_ms": 8000},
		"tenants": []any{},
	}
}
