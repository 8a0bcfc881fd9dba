// Package fakes holds what tests and the project's own experiments put in the place of the world outside the router: a mix of statements,
// engines, a control feed and clients. Nothing of it is part of the router.
package fakes
