package clients

import (
	"cmp"
	"context"
	"errors"
	"time"

	"aniseloft/internal/lease"
)

const (
	// defaultPurgeInterval is the default time between two purges of expired queries and results.
	defaultPurgeInterval = time.Minute
	// failUnfinishedTimeout is how long Start waits for the query record while another coordinator has it locked.
	failUnfinishedTimeout = 10 * time.Second
)

// Start marks the queries that an earlier process left unfinished as failed, and starts a goroutine that
// purges expired queries and results until ctx ends. It must be called before Serve.
func (s *RESTServer) Start(ctx context.Context) error {
	s.liveQueries = map[string]*restQuery{}
	if err := s.failUnfinished(ctx); err != nil {
		return err
	}
	go s.purgeUntil(ctx)
	return nil
}

func (s *RESTServer) failUnfinished(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, failUnfinishedTimeout)
	defer cancel()
	n, err := s.Record.FailUnfinished(ctx, s.Node)
	if err != nil {
		return err
	}
	if n > 0 {
		s.Log.Warn("unfinished queries of an earlier process marked failed", "count", n)
	}
	return nil
}

// purgeUntil purges expired queries and results immediately, and then at each interval until ctx ends.
func (s *RESTServer) purgeUntil(ctx context.Context) {
	t := time.NewTicker(cmp.Or(s.PurgeInterval, defaultPurgeInterval))
	defer t.Stop()
	for {
		s.purgeAll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (s *RESTServer) purgeAll(ctx context.Context) {
	if err := s.purgeRecord(ctx); err != nil && ctx.Err() == nil {
		s.Log.Warn("record not purged", "err", err)
	}
	if s.Spool != nil {
		if _, err := s.Spool.Expire(); err != nil {
			s.Log.Warn("spool not purged", "err", err)
		}
	}
	if s.CollectSpool != nil {
		if err := s.CollectSpool(); err != nil {
			s.Log.Warn("shared spool not collected", "err", err)
		}
	}
}

// purgeRecord deletes expired queries from the query record. Where the fleet has the job of pruning the
// record, only the coordinator that holds the job deletes them.
func (s *RESTServer) purgeRecord(ctx context.Context) error {
	if s.Fleet == nil || !s.Fleet.HasJob(lease.JobPruneRecord) {
		_, err := s.Record.DeleteExpired(ctx, time.Now())
		return err
	}
	fence, holder, ok := s.Fleet.Begin(lease.JobPruneRecord)
	if !ok {
		return nil
	}
	defer s.Fleet.End(lease.JobPruneRecord, fence)
	calledAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	deletedCount, err := s.Record.DeleteExpiredFenced(ctx, calledAt, fence, holder)
	var staleFence lease.StaleFenceError
	if errors.As(err, &staleFence) {
		s.Fleet.ReportStaleFence(lease.JobPruneRecord, staleFence)
	}
	s.Log.Info("fleet act", "job", lease.JobPruneRecord, "fence", fence, "holder", holder, "called_us", calledAt.UnixMicro(),
		"returned_us", time.Now().UnixMicro(), "admitted", err == nil, "unknown", err != nil && staleFence.Job == "", "dropped", deletedCount)
	return err
}
