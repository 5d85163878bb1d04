package poolmanager

import "context"

// uncutReader reads the configuration without regard to how long that takes on the machine's
// own clock: its time is virtual. A read that went on without its caller would let time pass
// beside the scene.
type uncutReader struct{ *Manager }

// ReadConfiguration implements keycheck.Reader.
func (r uncutReader) ReadConfiguration(ctx context.Context) error {
	return r.Manager.ReadConfiguration(context.WithoutCancel(ctx))
}
