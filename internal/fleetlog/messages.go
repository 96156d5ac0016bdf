package fleetlog

// Messages of the coordinator's log whose events are counted.
const (
	messageProbed          = "endpoint probed"
	messageDialled         = "endpoint dialled"
	messageAttemptStarted  = "attempt started"
	messageAttemptEnded    = "attempt ended"
	messageRequestAnswered = "request answered"
	messageListed          = "endpoint listed"
)

// formerMessages maps the messages of earlier versions to the current ones.
var formerMessages = map[string]string{
	"probed":   messageProbed,
	"dialled":  messageDialled,
	"sent":     messageAttemptStarted,
	"ended":    messageAttemptEnded,
	"answered": messageRequestAnswered,
	"listed":   messageListed,
}

// formerKeys maps the keys of earlier versions to the current ones.
var formerKeys = map[string]string{
	"engine": "endpoint",
	"why":    "reason",
}

// replaceFormerNames replaces the message and the keys of earlier versions in a line's fields. Coordinators of two versions
// run side by side during an upgrade.
func replaceFormerNames(fields map[string]string) {
	if message, formerKey := formerMessages[fields["msg"]]; formerKey {
		fields["msg"] = message
	}
	for formerKey, current := range formerKeys {
		if value, ok := fields[formerKey]; ok {
			fields[current] = value
			delete(fields, formerKey)
		}
	}
}
