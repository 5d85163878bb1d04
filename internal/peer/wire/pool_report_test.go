package wire

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"persimmonbay/internal/door"
)

// TestPoolReport checks that a report is as old at its receiver as at its sender, on the
// receiver's clock.
func TestPoolReport(t *testing.T) {
	g := NewWithT(t)
	made, sent := time.Unix(1_700_000_000, 0), time.Unix(9, 0)
	report := door.Report{
		At: made, Cores: 100, Within: 12.5,
		Spent: []door.Spent{{Team: "huts", For: 3 * time.Second}}, Paces: []door.Pace{{Queue: "holds", Step: 800 * time.Millisecond}},
	}
	got := ToPoolReport(FromPoolReport(&report, made.Add(40*time.Millisecond)), sent)
	report.At = sent.Add(-40 * time.Millisecond)
	g.Expect(*got).To(Equal(report))
}

// TestPoolReportInvalid checks that amounts which no owner sends decide nothing.
func TestPoolReportInvalid(t *testing.T) {
	g := NewWithT(t)
	for _, bad := range []float64{math.NaN(), math.Inf(1), -1} {
		g.Expect(ToPoolReport(&PoolReport{Cores: bad}, time.Unix(9, 0))).To(BeNil())
		g.Expect(ToPoolReport(&PoolReport{Within: bad}, time.Unix(9, 0))).To(BeNil())
	}
	g.Expect(ToPoolReport(&PoolReport{AgeUs: -1}, time.Unix(9, 0))).To(BeNil())
	g.Expect(ToPoolReport(nil, time.Unix(9, 0))).To(BeNil())
}
