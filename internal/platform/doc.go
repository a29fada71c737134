// Package platform reads the configuration that the platform provides to a node: the JSON file at the path in
// GW_CONFIG, and environment variables that override parts of it. The settings in the file have the simulator's
// names and are converted to the simulator's format, so that one parser (simproto) reads both. An error names
// the invalid field.
package platform
