// Command standin3 plays the cases of the third review that can't be put as a day of the users'
// bench. It starts the project's own programs as separate processes on loopback addresses and
// takes the place of everything around them: the platform's store, the workers and the
// requesters, as the users' PROTOCOL.md describes them.
//
// # Usage
//
//	standin3 -case NAME -repo DIR -record FILE [-trouble=false]
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not
// run.
package main
