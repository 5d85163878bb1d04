// Package identity decides which team a call belongs to, whether this entry knows enough
// of the configuration to say so, and which jobs a caller may see. It makes no calls: the
// age of what the entry knows is passed in.
package identity
