// Package operator is the operators' HTTP face of an entry and its client.
package operator
