package test

import "persimmonbay/internal/platform"

// entryVars holds the field "entry" of /debug/vars.
type entryVars struct {
	PlatformCalls []platform.CallCount `json:"platformCalls"`
}
