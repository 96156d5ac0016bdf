// Package routing carries requests through their lifecycle: admission, attempts at upstream
// endpoints, coalescing of identical requests with one idempotency key, and exactly one final answer. It is
// independent of wire formats. Package decide makes the decisions; this package executes them.
package routing
