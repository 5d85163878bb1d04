package telemetry_test

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/telemetry"
)

var _ = Describe("Metrics", func() {
	It("serve a histogram for each team, class, outcome and measure", func() {
		m := telemetry.NewMetrics()
		for i := 1; i <= 100; i++ {
			m.Record("herders", fleet.Urgent, fleet.Completed, telemetry.MeasureTotal, time.Duration(i)*time.Millisecond)
		}
		m.Record("matching", fleet.Background, fleet.NotRun, telemetry.MeasureTotal, time.Hour)
		response := httptest.NewRecorder()
		m.ServeHTTP(response, nil)
		var document metricsDocument
		Expect(json.Unmarshal(response.Body.Bytes(), &document)).To(Succeed())
		herders := document.Entry.Requests["herders/urgent/completed/total"]
		Expect(herders.Count).To(BeEquivalentTo(100))
		Expect(herders.P50Micros).To(BeNumerically("~", 50_000, 1000))
		Expect(herders.P99Micros).To(BeNumerically("~", 99_000, 1000))
		Expect(document.Entry.Requests).To(HaveKey("matching/background/not-run/total"))
	})
})

var _ = Describe("NewLogger", func() {
	It("writes JSON lines with step, peer and kind of an error", func() {
		var out bytes.Buffer
		log, err := telemetry.NewLogger(&out, "info")
		Expect(err).NotTo(HaveOccurred())
		log.Info("asked", telemetry.ProblemFields(problem.New(problem.Timeout, problem.StepStoreRead, "platform:1", "slow"))...)
		var line logLine
		Expect(json.Unmarshal(out.Bytes(), &line)).To(Succeed())
		Expect(line).To(Equal(logLine{Message: "asked", Step: "store-read", Peer: "platform:1", Kind: "timeout"}))
	})

	It("refuses an unknown level", func() {
		_, err := telemetry.NewLogger(&bytes.Buffer{}, "loud")
		Expect(problem.Is(err, problem.Invalid)).To(BeTrue())
	})
})
