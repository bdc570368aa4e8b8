// Package platformapi is the client of the platform's services: table service, object
// store, list of VMs, orders of backend servers and usage reports. It also
// classifies the errors of their calls.
package platformapi
