// Package settings parses the settings of one entry process from YAML. Unknown
// keys are refused, and absent keys have defaults. The configuration of the
// whole fleet is in package configuration.
package settings
