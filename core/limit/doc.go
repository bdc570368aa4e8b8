// Package limit enforces the limits that client accounts bought: requests per
// minute, tokens per minute and concurrent requests.
//
// Functions that need the present time take it as an argument; none performs
// I/O.
package limit
