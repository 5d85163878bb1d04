// Package entry puts one entry instance together: its listeners, its loops
// against the platform and its peers, and its graceful stop. The decisions are
// in the packages it wires.
package entry
