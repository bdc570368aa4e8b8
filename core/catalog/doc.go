// Package catalog holds the routes, services and client accounts that a router
// of opaque requests works by, and the index by which a request finds them.
//
// A Catalog is one revision as an operator published it. An Index is made from
// it once and is then read-only, so that requests read it without a lock.
package catalog
