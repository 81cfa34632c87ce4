// Package crowd tests that clients outside the limits end no process.
//
// Each test starts the program's own processes on loopback addresses, sends one of them a crowd of
// connections of one kind, and checks what does not depend on the speed of the machine: the
// process lives, its memory and its descriptors stay under a bound, and an ordinary request is
// answered while the crowd stays connected.
//
// # Usage
//
//	go test ./crowd
//
// The tests run one after the other; run nothing else beside them.
package crowd
