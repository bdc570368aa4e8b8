// Package explain finds out from the daemons' logs how one request was processed and
// why it failed. It collects the lines with the request's id, and the lines that the
// same VMs logged around that time about the backend servers that the request was sent
// to and about the platform.
package explain
