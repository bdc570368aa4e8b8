//go:build race

package daemon_test

// raceDetector states that the tests run with the race detector, whose own memory is several times
// that of the program.
const raceDetector = true
