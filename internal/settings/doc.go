// Package settings reads what a router is told at its start: the settings of the decision module, which a router's
// configuration and the bench's wire share, and the configuration around them. It decides nothing.
//
// The names of JSON keys, and the words that stand for values, are those of the deployment; package decision has the names
// of the code. Errors name the key that is wrong.
package settings
