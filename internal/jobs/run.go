package jobs

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"

	"persimmonbay/internal/jobstore"
	"persimmonbay/internal/platform"
	"persimmonbay/internal/platform/api"
	"persimmonbay/internal/telemetry"
)

// Timing of the loop.
const (
	leaseEvery = 100 * time.Millisecond // between two looks at the lease while another holds it
	idleEvery  = time.Second            // between two steps without a change
	busyEvery  = 100 * time.Millisecond // between two steps while tasks are being ordered
	stepPause  = 20 * time.Millisecond  // between two steps at least, so that changes gather
)

// Run places jobs for as long as the lease is held, and until ctx ends. watch
// bounds one wait for changes of the store.
func (k *Controller) Run(ctx context.Context, store platform.Store, watch time.Duration, held func() bool) {
	for ctx.Err() == nil {
		if held() {
			k.runTerm(ctx, store, watch, held)
		}
		k.pause(ctx, leaseEvery)
	}
}

// runTerm places jobs until the lease is no longer held.
func (k *Controller) runTerm(ctx context.Context, store platform.Store, watch time.Duration, held func() bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer k.View.Forget()
	k.Begin(uuid.NewString())
	var loops sync.WaitGroup
	defer k.Wait()
	defer loops.Wait()
	defer cancel()
	loops.Go(func() { k.newWatcher(store, watch).Run(ctx) })
	for ctx.Err() == nil && held() {
		changed := k.View.Changed()
		every := idleEvery
		if k.Step(ctx, held) {
			every = busyEvery
		}
		select {
		case <-changed:
		case <-k.clock.After(every):
		case <-ctx.Done():
		}
		k.pause(ctx, stepPause)
	}
}

func (k *Controller) pause(ctx context.Context, d time.Duration) {
	select {
	case <-k.clock.After(d):
	case <-ctx.Done():
	}
}

func (k *Controller) newWatcher(store platform.Store, watch time.Duration) *platform.Watcher {
	return &platform.Watcher{
		Store: store, Prefix: jobstore.Prefix, Wait: watch, Clock: k.clock, Log: k.log,
		Listed:  func(l api.Listing) { k.unreadable(k.View.PutListing(l)) },
		Changed: func(e api.Event) { k.unreadable(k.View.PutEvent(e)) },
		Reached: func(bool) {},
	}
}

func (k *Controller) unreadable(err error) {
	if err != nil {
		k.log.Error(fmt.Sprintf("jobs cannot be read; those of %s stay as they were known", jobstore.Prefix), telemetry.ProblemFields(err)...)
	}
}
