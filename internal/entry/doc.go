// Package entry assembles one entry: its listeners, its background loops that
// call the platform and the peers, and its graceful shutdown. The packages that
// it connects make the decisions.
package entry
