package gateway

import (
	"runtime/metrics"

	"go.uber.org/zap"
)

// memoryMetrics are the metrics of the runtime that are logged, by their names in the log.
// Sizes are in bytes.
var memoryMetrics = []struct{ field, metric string }{
	{"heap_live", "/gc/heap/live:bytes"},
	{"heap_goal", "/gc/heap/goal:bytes"},
	{"heap_free", "/memory/classes/heap/free:bytes"},
	{"stacks", "/memory/classes/heap/stacks:bytes"},
	{"total", "/memory/classes/total:bytes"},
	{"released", "/memory/classes/heap/released:bytes"},
	{"gc_percent", "/gc/gogc:percent"},
	{"allocated", "/gc/heap/allocs:bytes"},
	{"collections", "/gc/cycles/total:gc-cycles"},
	{"goroutines", "/sched/goroutines:goroutines"},
}

// logMemory logs what the process holds in memory.
func logMemory(log *zap.Logger) {
	samples := make([]metrics.Sample, len(memoryMetrics))
	for i, m := range memoryMetrics {
		samples[i].Name = m.metric
	}
	metrics.Read(samples)
	fields := make([]zap.Field, 0, len(samples))
	for i, s := range samples {
		if s.Value.Kind() == metrics.KindUint64 {
			fields = append(fields, zap.Uint64(memoryMetrics[i].field, s.Value.Uint64()))
		}
	}
	log.Info("memory", fields...)
}
