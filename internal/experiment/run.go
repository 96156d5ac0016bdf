package experiment

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"runtime"
	"sync"

	"github.com/cespare/xxhash/v2"

	"aniseloft/internal/emulator/simulation"
)

// Run runs the cells of a plan that have no result in the directory yet, up to GOMAXPROCS at a time, and appends each result
// as its cell ends. It reports progress in cells, one call at a time. When the context ends, it starts no further cell, waits
// for the running ones and returns the context's error; their results are stored.
func Run(ctx context.Context, p *Plan, directory string, progress func(completed, total int)) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return fmt.Errorf("experiment: %w", err)
	}
	stored, err := Load(directory)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	hashes, err := p.scenarioHashes()
	if err != nil {
		return err
	}
	file, err := openForAppend(filepath.Join(directory, resultsFile))
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	cells := p.Cells()
	r := &runner{plan: p, hashes: hashes, total: len(cells), progress: progress, file: file}
	return r.run(ctx, cells, stored)
}

// scenarioKey identifies a scenario with the changes of a variant.
type scenarioKey struct{ scenario, variant string }

// resultKey identifies a result: a cell and the content of its scenario.
type resultKey struct {
	cell         Cell
	scenarioHash string
}

// scenarioHashes returns a hash of each changed scenario's content.
func (p *Plan) scenarioHashes() (map[scenarioKey]string, error) {
	hashes := map[scenarioKey]string{}
	for _, cell := range p.Cells() {
		key := scenarioKey{cell.Scenario, cell.Variant}
		if hashes[key] != "" {
			continue
		}
		changed, err := p.scenario(cell.Scenario, cell.Variant)
		if err != nil {
			return nil, err
		}
		content, err := json.Marshal(changed)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", cell.Scenario, err)
		}
		hashes[key] = fmt.Sprintf("%016x", xxhash.Sum64(content))
	}
	return hashes, nil
}

// runner runs cells on several goroutines, which all end before run returns.
type runner struct {
	plan     *Plan
	hashes   map[scenarioKey]string
	total    int // number of cells of the plan
	progress func(completed, total int)

	mu        sync.Mutex // guards the fields below and calls of progress
	file      *os.File
	completed int
	errs      error
}

// run runs the cells without a stored result, and waits until all workers have ended.
func (r *runner) run(ctx context.Context, cells []Cell, stored []Result) error {
	isStored := map[resultKey]bool{}
	for _, result := range stored {
		isStored[resultKey{result.Cell, result.ScenarioHash}] = true
	}
	queue := make(chan Cell)
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for cell := range queue {
				line, err := r.runCell(cell)
				r.complete(line, err)
			}
		})
	}
	for _, cell := range cells {
		if isStored[resultKey{cell, r.hash(cell)}] {
			r.complete(nil, nil)
			continue
		}
		select {
		case queue <- cell:
		case <-ctx.Done():
		}
	}
	close(queue)
	workers.Wait()
	return errors.Join(r.errs, ctx.Err())
}

// hash returns the hash of a cell's scenario with its variant's changes.
func (r *runner) hash(cell Cell) string { return r.hashes[scenarioKey{cell.Scenario, cell.Variant}] }

// complete counts a cell as completed and appends its line to the results file. The line is nil if the result is already
// stored.
func (r *runner) complete(line []byte, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil && line != nil {
		_, err = r.file.Write(line)
	}
	if err != nil {
		r.errs = errors.Join(r.errs, err)
	}
	r.completed++
	r.progress(r.completed, r.total)
}

// runCell runs one cell and returns its line of the results file.
func (r *runner) runCell(cell Cell) ([]byte, error) {
	changed, err := r.plan.scenario(cell.Scenario, cell.Variant)
	if err != nil {
		return nil, err
	}
	report, err := simulation.Run(changed, simulation.Options{Seed: cell.Seed, Policy: cell.Policy})
	if err != nil {
		return nil, fmt.Errorf("%s, seed %d, %s: %w", cell.Scenario, cell.Seed, cell.Policy, err)
	}
	line, err := json.Marshal(Result{cell, r.hash(cell), report})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", cell.Scenario, err)
	}
	return append(line, '\n'), nil
}
