// Package queue orders the requests that wait for one pool of replicas.
//
// Between service classes the order is strict by tier, with a guaranteed share
// for each class that has work, so that none starves. Inside a class, client
// accounts share by tokens, by the virtual token counter of Sheng et al.,
// "Fairness in Serving Large Language Models" (OSDI 2024). Inside a client
// account the order is that of arrival.
//
// When a class asks for more than there is, equal tokens would leave the client
// accounts that ask most with the least of their requests in time. Fresh requests
// then go by the part of their client account's requests that became late,
// highest first. Requests of a client account that suddenly asks for more than
// usual do not count there.
//
// All functions take the present time as an argument and perform no I/O. A
// Queue is not safe for concurrent use.
package queue
