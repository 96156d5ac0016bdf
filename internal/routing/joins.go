package routing

import (
	"bytes"
	"errors"

	"aniseloft/decide"
)

// joins holds, for each key in use, the request that runs under it, which may have lost its own client, and
// those that wait for its end. It belongs to the
// core's goroutine, does no I/O and knows no clock.
type joins struct {
	lead   map[joinKey]*request
	behind map[decide.RequestID]*request // those that wait, by their own id
}

type joinKey struct {
	class int
	key   string
}

// mostBehind bounds those that wait for one run: a client tries again, it does not ask a hundred times at once.
const mostBehind = 32

// errCrowd is for more than that.
var errCrowd = errors.New("too many wait under the key")

// errOtherStatement is for a key that names two things: to serve either would answer the other.
var errOtherStatement = errors.New("the key is in use with another statement")

func newJoins() *joins {
	return &joins{lead: map[joinKey]*request{}, behind: map[decide.RequestID]*request{}}
}

// join makes a request wait for the one that runs under its key, or lets it run itself.
func (j *joins) join(r *request, keyed bool) (waits bool, err error) {
	if !keyed || r.query.Key == "" {
		return false, nil
	}
	k := joinKey{r.query.Class, r.query.Key}
	first := j.lead[k]
	if first == nil {
		j.lead[k] = r
		return false, nil
	}
	if !bytes.Equal(first.query.Statement, r.query.Statement) {
		return false, errOtherStatement
	}
	if len(first.followers) >= mostBehind {
		return false, errCrowd
	}
	r.query.Statement = first.query.Statement // one copy is held
	first.followers = append(first.followers, r)
	r.leader = first
	j.behind[r.id] = r
	return true, nil
}

// leave takes out one that no longer waits.
func (j *joins) leave(r *request) {
	delete(j.behind, r.id)
	if r.leader == nil {
		return
	}
	for i, f := range r.leader.followers {
		if f == r {
			r.leader.followers = append(r.leader.followers[:i:i], r.leader.followers[i+1:]...)
			break
		}
	}
	r.leader = nil
}

// end frees the key of a request that is answered, and gives all that waited for it.
func (j *joins) end(first *request) []*request {
	k := joinKey{first.query.Class, first.query.Key}
	if j.lead[k] != first {
		return nil
	}
	delete(j.lead, k)
	waiting := first.followers
	first.followers = nil
	for _, f := range waiting {
		delete(j.behind, f.id)
		f.leader = nil
	}
	return waiting
}
