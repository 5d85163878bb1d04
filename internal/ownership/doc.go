// Package ownership decides which entry owns which pool.
package ownership
