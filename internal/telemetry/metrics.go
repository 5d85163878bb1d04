package telemetry

import (
	"encoding/json"
	"expvar"
	"net/http"
	"strings"
	"time"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/shard"
)

// Metrics holds the metrics of one entry. Several may live in one process, so
// nothing is published in expvar's own table.
type Metrics struct {
	series *shard.Map[string, *series] // by team/class/outcome/measure
	vars   *expvar.Map
}

// NewMetrics returns metrics that are all zero.
func NewMetrics() *Metrics {
	m := &Metrics{series: shard.NewMap[string, *series](), vars: new(expvar.Map).Init()}
	m.Publish("requests", func() any { return m.summaries() })
	return m
}

// Publish adds a variable whose value is read when it is shown.
func (m *Metrics) Publish(name string, value func() any) { m.vars.Set(name, expvar.Func(value)) }

// Record notes a time of a team's request of this class and outcome.
func (m *Metrics) Record(team string, class fleet.Class, outcome fleet.Outcome, measure Measure, d time.Duration) {
	key := strings.Join([]string{team, class.String(), string(outcome), string(measure)}, "/")
	m.series.GetOrCreate(key, newSeries).record(d)
}

func (m *Metrics) summaries() map[string]Summary {
	all := make(map[string]Summary)
	m.series.Range(func(key string, s *series) bool {
		all[key] = s.summary()
		return true
	})
	return all
}

// ServeHTTP shows this entry's variables and the process's own as JSON.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	shown := map[string]json.RawMessage{"entry": json.RawMessage(m.vars.String())}
	expvar.Do(func(kv expvar.KeyValue) { shown[kv.Key] = json.RawMessage(kv.Value.String()) })
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(shown) // a lost reader sees a broken connection
}
