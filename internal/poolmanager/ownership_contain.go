package poolmanager

import (
	"time"

	"go.uber.org/zap"
)

// failedOwnershipPause is the pause before what ended with an unexpected error starts
// again: a value that causes the error each time must not keep the process busy, and the
// tasks that run must not lose their leases meanwhile.
const failedOwnershipPause = time.Second

// spawn runs f in a goroutine of the ownership, which contains its unexpected errors.
func (o *poolOwnership) spawn(f func()) {
	o.goroutines.Go(func() {
		defer o.contain()
		f()
	})
}

// contain is deferred by goroutines that work for the ownership. It ends the ownership
// after an unexpected error: what the error left applied in part is dropped, and read
// from the store again when the pool is taken over next. Later errors are consequences
// of the first one and are not logged.
func (o *poolOwnership) contain() {
	cause := recover()
	if cause == nil {
		return
	}
	if o.failed.CompareAndSwap(false, true) {
		o.log.Error("unexpected error, the ownership of the pool ends", zap.Any("cause", cause), zap.Stack("stack"))
	}
	o.cancel()
}

// run runs the pool, or the machine controller, until it is lost or handed over, and all
// goroutines of the ownership have ended.
func (o *poolOwnership) run() {
	defer o.goroutines.Wait()
	defer o.cancel()
	defer o.contain()
	if o.service == machineControllerRole {
		o.runMachineController()
	} else {
		o.runPool()
	}
}

// pauseIfFailed waits before the pool may be taken over again, if the ownership ended
// with an unexpected error. A hand-over ends the wait.
func (o *poolOwnership) pauseIfFailed() {
	if !o.failed.Load() {
		return
	}
	timer := o.Clock.NewTimer(failedOwnershipPause)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-o.leaving:
	}
}
