// Package fakes provides replacements of the systems outside the router, for tests and experiments: a mix of statements, engines, a control
// feed and clients. The router does not use this package.
package fakes
