package controller_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"persimmonbay/internal/maintenance"
)

// callsEntries is the number of entries whose calls are counted.
const callsEntries = 7

// BenchmarkWaveCalls prints the calls to the platform for pools and waves
// during a whole wave, in virtual time and for fleets of three sizes.
func BenchmarkWaveCalls(b *testing.B) {
	for range b.N {
		fmt.Printf("%10s %9s %9s %9s %8s %8s %8s %8s %8s %10s\n", "instances", "roll-out", "pools/wat", "waves/wat", "reads", "writes", "average", "peak 1s", "peak 10s", "longest step")
		for _, pools := range []int{62, 125, 250} {
			measureWaveCalls(b, pools)
		}
	}
}

func measureWaveCalls(b *testing.B, pools int) {
	f, wave := startCallsWave(pools)
	ctx := context.Background()
	for f.watchers[0].view.State().Wave.Open() {
		if f.now().Sub(wave.Started) > 6*time.Hour {
			b.Fatal("the wave does not end")
		}
		f.tick(ctx)
	}
	rollout := f.watchers[0].view.State().Wave.Finished.Sub(wave.Started)
	c := f.store
	fmt.Printf("%10d %9s %9.2f %9.2f %8.2f %8.2f %8.2f %8.0f %8.1f %10s\n", len(f.list), rollout.Round(time.Second), c.perSecond("pools/watch"),
		c.perSecond("waves/watch"), c.perSecond("waves/read"), c.perSecond("waves/write"), c.perSecond(""), c.peak(1), c.peak(10), f.longestStep.Round(time.Millisecond/10))
}

// startCallsWave returns a settled fleet in which a wave has just started. It
// has the given number of pools of three instances, and spares; the budget of
// every tenth pool allows no instance to be unavailable.
func startCallsWave(pools int) (*callsFleet, maintenance.Wave) {
	f := newCallsFleet(callsEntries, maintenance.DefaultPolicy())
	for p := range pools {
		share := 0.34
		if p%10 == 0 {
			share = 0.1
		}
		f.addPool(fmt.Sprintf("pool-%03d", p), 3, maintenance.Budget{Share: share})
	}
	f.addPool("spare", pools*16/25, maintenance.Budget{Share: 1, Spare: true})
	ctx := context.Background()
	for range 200 {
		f.tick(ctx)
	}
	s, _ := f.Snapshot(ctx)
	wave, err := maintenance.RequestWave(&s, maintenance.Wave{ID: "wave", By: "amal"})
	if err != nil {
		panic(err)
	}
	if _, err = f.control.Store.SaveWave(ctx, wave); err != nil {
		panic(err)
	}
	for !f.watchers[0].view.State().Wave.Open() {
		f.tick(ctx)
	}
	f.store.reset()
	return f, wave
}
