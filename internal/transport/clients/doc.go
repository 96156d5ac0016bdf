// Package clients serves client connections: the platform's JSON-RPC protocol, the paged REST
// protocol, and the operators' calls. The servers read requests, hand them to the dispatcher and
// write its answers. The dispatcher decides which requests are admitted under load.
package clients
