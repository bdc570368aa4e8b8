// Package queue orders the requests that wait for one pool of replicas. Service
// classes are served in order of tier, except that each class with waiting
// requests is guaranteed a share of the work, so that none starves. Within a
// class, client accounts share by tokens, with the virtual token counter of
// Sheng et al., "Fairness in Serving Large Language Models" (OSDI 2024). Within
// a client account, requests are served in order of arrival. Functions that need
// the present time take it as an argument; none performs I/O. A Queue is not
// safe for concurrent use.
//
// When demand exceeds the capacity of a class, equal numbers of tokens would
// leave the client accounts that send the most requests with the smallest share
// of requests served on time. Requests that can still be served on time are
// therefore ordered by the share of late requests of their client account,
// highest first. Requests of a client account that suddenly sends more than
// usual do not count towards this share.
package queue
