// Package limit enforces the limits that client accounts bought: requests per
// minute, tokens per minute and concurrent requests.
//
// All functions take the present time as an argument and perform no I/O.
package limit
