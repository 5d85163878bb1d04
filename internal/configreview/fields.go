package configreview

import (
	"fmt"

	"persimmonbay/internal/poolconfig"
	"persimmonbay/internal/scheduler"
)

// appendIf appends the name of a field that changed.
func appendIf(fields []string, changed bool, name string) []string {
	if changed {
		return append(fields, name)
	}
	return fields
}

// queueFields returns the names of the fields in which two queues differ.
func queueFields(a, b *poolconfig.Queue) (fields []string) {
	fields = appendIf(fields, a.Host != b.Host, "host")
	fields = appendIf(fields, a.Prefix != b.Prefix, "prefix")
	fields = appendIf(fields, a.Service != b.Service, "service")
	fields = appendIf(fields, a.Priority != b.Priority, "priority")
	fields = appendIf(fields, a.MaxFailures != b.MaxFailures, "failed runs")
	fields = appendIf(fields, a.Stretch != b.Stretch, "stretch")
	fields = appendIf(fields, a.Objective != b.Objective, "objective")
	fields = appendIf(fields, a.Timeout != b.Timeout, "timeout")
	fields = appendIf(fields, !equalAdvice(a.Advice, b.Advice), "advice")
	return appendIf(fields, a.Public != b.Public, "public")
}

func equalAdvice(a, b *scheduler.AdvicePolicy) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

// poolFields returns the names of the fields in which two pools differ.
func poolFields(a, b *poolconfig.Pool) (fields []string) {
	fields = appendIf(fields, a.EnforcesCapacity != b.EnforcesCapacity, "enforces capacity")
	fields = appendIf(fields, a.Standby != b.Standby, "standby")
	return appendIf(fields, a.MaxConns != b.MaxConns, "connections")
}

// teamFields returns the names of the fields in which two teams differ, and how many keys
// were added and removed.
func teamFields(a, b *poolconfig.Team) (fields []string) {
	fields = appendIf(fields, a.Priority != b.Priority, "priority")
	fields = appendIf(fields, a.Weight != b.Weight, "weight")
	fields = appendIf(fields, a.Cap != b.Cap, "cap")
	added, removed := missing(b.Keys, a.Keys), missing(a.Keys, b.Keys)
	return appendIf(fields, added+removed > 0, fmt.Sprintf("keys (%d added, %d removed)", added, removed))
}

// missing returns how many keys of all are not in others.
func missing(all, others []poolconfig.KeyDigest) int {
	left := make(map[poolconfig.KeyDigest]bool, len(all))
	for _, key := range all {
		left[key] = true
	}
	for _, key := range others {
		delete(left, key)
	}
	return len(left)
}

// limitFields returns the names of the limits that differ.
func limitFields(a, b poolconfig.Limits) (fields []string) {
	fields = appendIf(fields, a.MaxHeaderBytes != b.MaxHeaderBytes, "header bytes")
	fields = appendIf(fields, a.MaxBodyBytes != b.MaxBodyBytes, "body bytes")
	fields = appendIf(fields, a.HeaderTimeout != b.HeaderTimeout, "header timeout")
	return appendIf(fields, a.IdleTimeout != b.IdleTimeout, "idle timeout")
}
