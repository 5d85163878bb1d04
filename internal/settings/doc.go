// Package settings holds the settings of one entry process: strict YAML with
// defaults. What operators agree on for the whole fleet is not here but in
// package configuration.
package settings
