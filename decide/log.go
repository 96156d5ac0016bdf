package decide

// logInterval is the shortest time between two log lines, in multiples of the shortest latency objective.
const logInterval = 2.0

// rateLimitedLog writes log lines for operators. It drops a line that follows the last one within
// logInterval, so an ejection may go unlogged while many endpoints are ejected; EndpointStatuses shows the
// state.
type rateLimitedLog struct {
	clock  *clock
	outbox *outbox
	lastAt Millis // time of the last line; never: none
}

func (l *rateLimitedLog) add(line Log) {
	if l.clock.now-l.lastAt >= l.clock.objectives(logInterval) {
		l.lastAt = l.clock.now
		l.outbox.add(line)
	}
}
