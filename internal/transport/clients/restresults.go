package clients

import (
	"context"
	"errors"
	"fmt"
	"time"

	"aniseloft/decide"
	"aniseloft/internal/protocol/rest"
	"aniseloft/internal/spool"
	"aniseloft/internal/store"
)

// msgRecordUnreadable is the log message for a query whose row can't be read from the query record.
const msgRecordUnreadable = "query record unreadable"

// restPollHoldTime is how long the answer to a poll is held until the query ends.
const restPollHoldTime = time.Second

// awaitEnd waits up to restPollHoldTime for a query to end and returns the answer for its state.
// answersStatement is set for the answer to the statement itself, and unset for the answer to a later poll.
func (s *RESTServer) awaitEnd(ctx context.Context, row *store.Query, host string, pageIndex int, answersStatement bool) []byte {
	if q := s.findLive(row.ID); q != nil && row.State == store.StateRunning {
		holdTimer := time.NewTimer(restPollHoldTime)
		defer holdTimer.Stop()
		select {
		case <-q.ended:
		case <-holdTimer.C:
			return rest.EncodeResults(200, rest.QueryResults{ID: row.ID, NextURI: rest.PageURI(host, row.ID, row.Slug, 0),
				Stats: rest.Stats{State: "RUNNING"}}, 0)
		}
	}
	latestRow, err := s.readRow(ctx, row.ID)
	if err != nil {
		s.Log.Warn(msgRecordUnreadable, "query", row.ID, "err", err)
		return s.errorAnswer(errRecordUnavailable)
	}
	return s.endedAnswer(latestRow, host, pageIndex, answersStatement)
}

func (s *RESTServer) readRow(ctx context.Context, id string) (*store.Query, error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	return s.Record.Get(ctx, id)
}

// endedAnswer returns the answer for an ended query.
func (s *RESTServer) endedAnswer(row *store.Query, host string, pageIndex int, answersStatement bool) []byte {
	switch row.State {
	case store.StateSucceeded:
		return s.resultPage(row, host, pageIndex)
	case store.StateRunning: // the query has ended, but its end could not be recorded
		if _, class, err := findClass(s.Dispatcher, row.Class); err == nil && class.Idempotency == decide.IdempotentAlways {
			return rejection(row.ID, s.maxRetryAfter())
		}
		return failure(row.ID, rest.ErrorFailed, 0)
	case store.StateRejected:
		if answersStatement {
			return rejection(row.ID, row.RetryAfter)
		}
		return failure(row.ID, rest.ErrorRejected, max(row.RetryAfter, minRetryAfter))
	case store.StateCanceled:
		return failure(row.ID, rest.ErrorCanceled, 0)
	}
	return failure(row.ID, rest.ErrorFailed, 0)
}

// failure encodes the answer for a query that ended without a result.
func failure(id string, e rest.QueryError, retryAfter time.Duration) []byte {
	return rest.EncodeResults(200, rest.QueryResults{ID: id, Stats: rest.Stats{State: "FAILED"}, Error: &e}, retryAfter)
}

// resultPage returns the answer with one page of a result.
func (s *RESTServer) resultPage(row *store.Query, host string, pageIndex int) []byte {
	if len(row.Pages) == 0 && s.Spool != nil {
		return s.spooledPage(row, host, pageIndex)
	}
	var pages [][][]string
	if err := codec.Unmarshal(row.Pages, &pages); err != nil {
		return s.errorAnswer(fmt.Errorf("%w: %w", errRecordCorrupt, err))
	}
	if pageIndex >= len(pages) {
		return s.errorAnswer(errPageNotFound)
	}
	return pageAnswer(row, host, pageIndex, rest.DescribeColumns(pages), pages[pageIndex], pageIndex+1 == len(pages))
}

// spooledPage returns the answer with a page from the spool. Once a result has expired, the answer for each
// of its pages is the same error.
func (s *RESTServer) spooledPage(row *store.Query, host string, pageIndex int) []byte {
	pageText, isLast, err := s.Spool.Read(row.ID, pageIndex)
	switch {
	case errors.Is(err, spool.ErrNoPage):
		return s.errorAnswer(errPageNotFound)
	case errors.Is(err, spool.ErrNotFound), errors.Is(err, spool.ErrExpired):
		return failure(row.ID, rest.ErrorExpired, 0)
	case err != nil:
		s.Log.Error("result page unreadable", "query", row.ID, "page", pageIndex, "err", err)
		return failure(row.ID, rest.ErrorFailed, 0)
	}
	rows := rest.ParseRows(pageText)
	return pageAnswer(row, host, pageIndex, rest.DescribeColumns([][][]string{rows}), rows, isLast)
}

// pageAnswer encodes the answer with a page, and with the URI of the next page unless isLast is set.
func pageAnswer(row *store.Query, host string, pageIndex int, columns []rest.Column, rows [][]string, isLast bool) []byte {
	out := rest.QueryResults{ID: row.ID, Columns: columns, Data: rows, Stats: rest.Stats{State: "FINISHED"}}
	if !isLast {
		out.NextURI, out.Stats.State = rest.PageURI(host, row.ID, row.Slug, pageIndex+1), "RUNNING"
	}
	return rest.EncodeResults(200, out, 0)
}

// lookup finds a query's row by the id and the slug in the URI that its client was given.
func (s *RESTServer) lookup(ctx context.Context, id, slug string) (*store.Query, error) {
	row, err := s.readRow(ctx, id)
	if errors.Is(err, store.ErrNotFound) || err == nil && row.Slug != slug {
		return nil, errQueryNotFound
	}
	if err != nil {
		s.Log.Warn(msgRecordUnreadable, "query", id, "err", err)
		return nil, fmt.Errorf("%w: %w", errRecordUnavailable, err)
	}
	return row, nil
}

// page returns the answer to a poll for a page.
func (s *RESTServer) page(ctx context.Context, m rest.PageRequest) []byte {
	row, err := s.lookup(ctx, m.ID, m.Slug)
	if err != nil {
		return s.errorAnswer(err)
	}
	return s.awaitEnd(ctx, row, m.Host, m.Token, false)
}

// cancel cancels a running query, or drops the spooled result of one that has succeeded.
func (s *RESTServer) cancel(ctx context.Context, m rest.CancelRequest) []byte {
	row, err := s.lookup(ctx, m.ID, m.Slug)
	if err != nil {
		return s.errorAnswer(err)
	}
	if q := s.findLive(row.ID); q != nil && row.State == store.StateRunning {
		q.cancel()
	} else if s.Spool != nil && row.State == store.StateSucceeded {
		if err := s.Spool.Drop(row.ID); err != nil && !errors.Is(err, spool.ErrNotFound) {
			s.Log.Warn("result not deleted", "query", row.ID, "err", err)
		}
	}
	return rest.EncodeNoContent()
}
