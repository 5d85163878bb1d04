package platform

import "context"

// Rebooter reboots instances.
type Rebooter interface {
	// Reboot requests the reboot of an instance. An error of kind Conflict means
	// that it is rebooting already; after Interrupted or Timeout it is unknown
	// whether the request was accepted.
	Reboot(ctx context.Context, instance string) error
}
