package platform

import "context"

// Rebooter reboots instances.
type Rebooter interface {
	// Reboot asks for the reboot of an instance. An error of kind Conflict says
	// that it is rebooting already; after one of kind Interrupted or Timeout
	// nobody knows whether the request was taken.
	Reboot(ctx context.Context, instance string) error
}
