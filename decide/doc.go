// Package decide makes the decisions of one load balancer in front of query engines with limited memory:
// which endpoint a request goes to, when it waits, when it is retried and when it is rejected.
//
// The package does no I/O and starts no goroutine. Balancer.Handle takes one Event and the time at which it
// happened and returns the Actions that the caller has to carry out, in order; every timer is an Action too,
// and random draws come from one seeded generator, so the same events lead to the same actions.
//
// A request is handled by these files, in order:
//
//	balancer.go       Handle, the entry point for events
//	dispatch.go       arrival, dispatch of pending requests
//	admission.go      ranking by weight per ms of work, the queue of pending requests
//	quota.go          tenant quotas
//	keyorder.go       one request at a time for each order key, in classes with OrderedByKey
//	placement.go      candidate endpoints, the band over the average load, the final selection
//	slowstart.go      budgets of endpoints that have just started
//	capacity.go       class queues, memory grants, the fleet's mean load
//	probe.go          probes of endpoints whose load is not known well enough
//	attempt.go        start, progress, cancellation and end of an attempt; the final answer
//	retry.go          idempotency, the retry budget
//
// The other files: endpointset.go and subscription.go keep the endpoint list, outlier.go ejects endpoints and
// returns them to rotation after a successful trial request, estimator.go learns work, memory and latency by
// class, gossip.go and gossipcodec.go exchange load information with other balancers, status.go reports the
// state of endpoints, log.go writes log lines for operators. The interface is in events.go, actions.go,
// settings.go and validate.go; clock.go, mean.go, endpoint.go and request.go hold the shared types.
//
// Times are Millis on the caller's clock, work is in milliseconds on one core, memory in MB. Names with Ratio
// hold dimensionless numbers.
package decide
