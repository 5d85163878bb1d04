// Package configfile parses questionnaires and configurations from YAML and
// writes configurations as YAML. Package configuration, which defines their
// meaning, does not depend on it.
package configfile
