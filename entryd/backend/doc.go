// Package backend speaks to backend servers: model engines and the replicas of
// plain services. It keeps the list of them and knows, when a call fails,
// whether anything can have run.
package backend
