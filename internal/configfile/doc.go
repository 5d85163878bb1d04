// Package configfile reads and writes questionnaires and configurations as
// YAML. Package configuration, which decides what they mean, does not know of
// it.
package configfile
