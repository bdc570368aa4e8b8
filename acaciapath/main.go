// Command acaciapath is being built.
package main

func main() {}
