package identity

import (
	"time"

	"persimmonbay/internal/poolconfig"
)

// Knowledge is what an entry knows of the configuration at the time of a verdict.
type Knowledge struct {
	Configuration *poolconfig.Configuration // nil: none was read yet
	Directory     *Directory                // of the configuration's teams
	Age           time.Duration             // since the configuration was confirmed to be the newest
	Confirmed     bool                      // false: it never was, and Age means nothing
	Waited        time.Duration             // since the call arrived
}
