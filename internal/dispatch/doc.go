// Package dispatch decides when and where each request goes: it implements
// request.Dispatcher over the routing table.
package dispatch
