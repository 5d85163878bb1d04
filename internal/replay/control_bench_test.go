package replay_test

import (
	"fmt"
	"testing"
	"time"

	"persimmonbay/internal/configuration"
	"persimmonbay/internal/fleet"
	"persimmonbay/internal/replay"
	"persimmonbay/internal/trace"
)

// BenchmarkControl measures the control traffic of slot lending at a steady load of
// half the upstreams' capacity.
func BenchmarkControl(b *testing.B) {
	for _, entries := range []int{3, 7, 14} {
		for _, upstreams := range []int{12, 25, 50, 100, 300, 910} {
			b.Run(fmt.Sprintf("entries=%d/upstreams=%d", entries, upstreams), func(b *testing.B) {
				var r replay.Report
				for range b.N {
					r = replay.Run(steadyTrace(entries, upstreams), replay.DeployedVariant)
				}
				b.ReportMetric(r.BytesPerEntry, "bytes/s/entry")
				b.ReportMetric(r.MessagesPerEntry, "messages/s/entry")
			})
		}
	}
}

// steadyTrace returns a trace with a constant load on five services.
func steadyTrace(entries, upstreams int) *trace.Trace {
	const services, perSlot = 5, 25 // perSlot: requests per second that a slot serves at 40 ms each
	t := &trace.Trace{Name: "steady", Seed: 7, Entries: entries, Duration: 60 * time.Second}
	t.Questionnaire.Teams = []configuration.TeamAnswers{{Name: "herders", LateMeans: "harm", People: 4000}, {Name: "inspectors", LateMeans: "annoyance", People: 300}}
	for i := range services {
		runners := upstreams / services
		if i < upstreams%services {
			runners++
		}
		name := fmt.Sprintf("service-%d", i+1)
		t.Questionnaire.Services = append(t.Questionnaire.Services, configuration.ServiceAnswers{Name: name, Runners: runners, AtOncePerRunner: 8, Connections: 64, AnswerWithin: 2 * time.Second})
		rate := float64(runners*8*perSlot) / 4
		for _, team := range []string{"herders", "inspectors"} {
			t.Streams = append(t.Streams, trace.Stream{Service: name, Team: team, Class: fleet.Normal, Work: 40 * time.Millisecond, Timeout: 2 * time.Second,
				Segments: []trace.Segment{{To: t.Duration, Rate: rate}}})
		}
	}
	return t
}
