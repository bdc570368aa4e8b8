// Command standin serves simulations of the services that the project depends
// on: the platform, a model engine or a plain service.
package main
