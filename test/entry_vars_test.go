package test

import "persimmonbay/internal/platform"

// entryVars is an entry's own part of /debug/vars.
type entryVars struct {
	PlatformCalls []platform.CallCount `json:"platformCalls"`
}
