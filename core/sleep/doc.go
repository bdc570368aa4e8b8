// Package sleep provides a sleep that ends early if its context is done.
package sleep
