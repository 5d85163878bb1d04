package maintenance_test

import (
	"fmt"
	"testing"

	"persimmonbay/internal/maintenance"
)

// BenchmarkPlan measures one plan in the middle of a wave, for three sizes of
// fleet.
func BenchmarkPlan(b *testing.B) {
	for _, pools := range []int{62, 125, 250} {
		r := newReplay(pools, 3, 8, pools*16/25, func(int) float64 { return 0.34 })
		wave, err := maintenance.RequestWave(&r.snapshot, maintenance.Wave{ID: "wave"})
		if err != nil {
			b.Fatal(err)
		}
		r.snapshot.Wave = wave
		for range 10 {
			r.step()
		}
		b.Run(fmt.Sprintf("%d-instances", len(r.snapshot.Records)), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				maintenance.Plan(&r.snapshot, r.policy)
			}
		})
	}
}
