// Package admin implements the operators' line protocol on the second address. A connection carries one command line
// and gets one response line that begins with ACK or NAK. The package does no I/O: the parser is fed bytes.
package admin

import (
	"errors"
	"fmt"
	"strings"
)

// Verb is the operation that a command requests.
type Verb int

// Verbs of the protocol.
const (
	Status  Verb = iota // report whether this process can serve requests
	Suspend             // send no new requests to the named endpoint
	Restore             // end the suspension of the named endpoint
	Pause               // begin a drain: send clients away
	Resume              // end the drain
)

// verbs holds the name of each verb on the wire and whether it takes an argument.
var verbs = [...]struct {
	name       string
	onEndpoint bool // an endpoint ID follows the verb
}{
	Status:  {"STATUS", false},
	Suspend: {"SUSPEND", true},
	Restore: {"RESTORE", true},
	Pause:   {"PAUSE", false},
	Resume:  {"RESUME", false},
}

// String returns the name of the verb on the wire.
func (v Verb) String() string { return verbs[v].name }

// Command is one command of an operator.
type Command struct {
	Verb       Verb
	EndpointID string // ID of the endpoint, for Suspend and Restore
}

// String returns the command line without its line feed.
func (c Command) String() string {
	if verbs[c.Verb].onEndpoint {
		return c.Verb.String() + " " + c.EndpointID
	}
	return c.Verb.String()
}

// Errors of a line that is not a valid command. The response to the line is a NAK with the text of the error.
var (
	ErrTooLong      = errors.New("line too long")
	ErrNotText      = errors.New("not text")
	ErrEmpty        = errors.New("empty line")
	ErrUnknownVerb  = errors.New("unknown verb")
	ErrMissingID    = errors.New("an engine id is missing")
	ErrTooManyWords = errors.New("too many words")
	ErrIncomplete   = errors.New("the line did not end")
)

// Parse reads one line without its line feed: words of printable ASCII, separated by spaces or tabs. The verb is
// not case-sensitive; the ID is returned unchanged.
func Parse(line string) (Command, error) {
	for _, r := range line {
		if r != '\t' && (r < ' ' || r > '~') {
			return Command{}, ErrNotText
		}
	}
	words := strings.Fields(line)
	if len(words) == 0 {
		return Command{}, ErrEmpty
	}
	verb, ok := parseVerb(words[0])
	if !ok {
		return Command{}, fmt.Errorf("%w %q", ErrUnknownVerb, truncate(words[0]))
	}
	c := Command{Verb: verb}
	arguments := words[1:]
	if verbs[verb].onEndpoint {
		if len(arguments) == 0 {
			return Command{}, ErrMissingID
		}
		c.EndpointID, arguments = arguments[0], arguments[1:]
	}
	if len(arguments) > 0 {
		return Command{}, ErrTooManyWords
	}
	return c, nil
}

func parseVerb(word string) (v Verb, ok bool) {
	for i, verb := range verbs {
		if strings.EqualFold(word, verb.name) {
			return Verb(i), true
		}
	}
	return 0, false
}

// maxEchoBytes bounds the part of an unknown verb that a NAK repeats.
const maxEchoBytes = 32

func truncate(s string) string {
	if len(s) > maxEchoBytes {
		return s[:maxEchoBytes] + "..."
	}
	return s
}

// Ack returns the response line to a command that was carried out, with a text.
func Ack(text string) []byte { return encodeResponse("ACK", text) }

// Nak returns the response line to a command that was not carried out, with the reason.
func Nak(reason string) []byte { return encodeResponse("NAK", reason) }

func encodeResponse(word, text string) []byte {
	if text == "" {
		return []byte(word + "\n")
	}
	return []byte(word + " " + strings.ReplaceAll(text, "\n", " ") + "\n")
}
