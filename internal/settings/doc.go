// Package settings parses a router's configuration file: the settings of the decision module, which the simulator's protocol
// uses too, and the fields around them, such as addresses and resource limits.
//
// JSON keys and enumerated values have the names of the deployment's files; package decision has the names used in the code.
// Errors name the invalid key.
package settings
