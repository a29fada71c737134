// Package platform reads the configuration that the platform gives a node: the JSON file that GW_CONFIG names,
// and environment variables that take precedence over parts of it. Its settings use the simulator's names; they
// are rewritten in the simulator's form, so that one parser (simproto) serves both. A mistake is an error that
// names the field.
package platform
