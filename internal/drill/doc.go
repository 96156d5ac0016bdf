// Package drill injects faults into many coordinators that share work under leases, and checks the actions of every
// process against the rules of the protocol.
//
// RunVirtual simulates the processes in virtual time from a seed, thousands of runs a minute. RunReal starts real processes
// on loopback, with relays between them that delay, drop and block their traffic. Checkers then report each violated rule
// with the process, the time and the evidence.
package drill
