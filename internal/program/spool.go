package program

import (
	"errors"
	"fmt"

	"aniseloft/internal/config"
	"aniseloft/internal/lease"
	"aniseloft/internal/millis"
	"aniseloft/internal/spool"
)

const (
	spoolSegmentBytes = 16 << 20
	// memorySpoolSegments is the number of segments of a spool in memory.
	memorySpoolSegments = 16
)

// openSpool opens the spool of results. It returns nil if the spool is off.
func (p *Program) openSpool(settings config.REST) (*spool.Store, error) {
	if settings.Spool.Bytes() == 0 {
		return nil, nil
	}
	medium, options, err := p.spoolMedium(settings)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", config.RESTFile, err)
	}
	openedSpool, recovery, err := spool.Open(medium, options)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", config.RESTFile, err)
	}
	p.log.Info("spool opened", "sealed", recovery.Sealed, "cleared", recovery.Discarded, "damaged", len(recovery.Damage))
	for _, damage := range recovery.Damage {
		p.log.Error("spool damaged", "at", damage.String())
	}
	return openedSpool, nil
}

// spoolMedium returns the storage of the spool: a directory, or memory up to a fraction of the memory limit.
func (p *Program) spoolMedium(settings config.REST) (spool.Medium, spool.Options, error) {
	options := p.spoolOptions(settings)
	if settings.Spool.Directory == "" {
		spoolBytes, maxSpoolBytes := settings.Spool.Bytes(), p.memoryFraction(spoolMemoryFraction)
		if spoolBytes > maxSpoolBytes {
			return nil, options, fmt.Errorf("spool: total_mb: at most %d is allowed for a spool in memory; set spool: directory for a larger one", maxSpoolBytes>>20)
		}
		options.SegmentBytes = max(spoolBytes/memorySpoolSegments, 1)
		return spool.NewMemory(), options, nil
	}
	directoryPath := settings.Spool.Directory
	if settings.Spool.Shared {
		directoryPath = spool.CoordinatorDirectory(directoryPath, p.config.Name)
	}
	directory, err := spool.OpenDirectory(directoryPath)
	return directory, options, err
}

func (p *Program) spoolOptions(settings config.REST) spool.Options {
	keepMS := float64(settings.KeepSeconds) * 1000
	return spool.Options{
		SegmentBytes: spoolSegmentBytes,
		NowMS:        millis.Now,
		Limits:       settings.Spool.Limits(keepMS, p.config.Settings.MaxRetryAfter),
		Compress:     settings.Spool.Compress,
	}
}

// spoolCollector returns the job that removes, on behalf of all coordinators, the expired results of
// removed coordinators from a shared spool. It returns nil if the spool is not shared or the fleet has no job
// lease.JobCollectSpool.
func (p *Program) spoolCollector(settings config.REST) func() error {
	if !settings.Spool.Shared || p.fleet == nil || !p.fleet.HasJob(lease.JobCollectSpool) {
		return nil
	}
	return func() error {
		fence, holder, granted := p.fleet.Begin(lease.JobCollectSpool)
		if !granted {
			return nil
		}
		defer p.fleet.End(lease.JobCollectSpool, fence)
		return p.collectSpool(settings, fence, holder)
	}
}

// collectSpool runs the spool collection under a fencing token and logs its result.
func (p *Program) collectSpool(settings config.REST, fence lease.Fence, holder string) error {
	root := settings.Spool.Directory
	var collection spool.Collection
	err := spool.RunFenced(root, lease.JobCollectSpool, fence, holder, func() (err error) {
		collection, err = spool.CollectUnowned(root, p.config.Name, p.spoolOptions(settings))
		return err
	})
	var staleFence lease.StaleFenceError
	if errors.As(err, &staleFence) {
		p.fleet.ReportStaleFence(lease.JobCollectSpool, staleFence)
	} else if collection.Expired+collection.Removed > 0 {
		p.log.Info("spool collected", "expired", collection.Expired, "removed", collection.Removed, "fence", fence)
	}
	return err
}
