// Command simhost runs many instances of the decision module for a simulator: it reads one batch of events per line from
// standard input and writes one line of actions per batch to standard output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"aniseloft/internal/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// run answers batches until the input ends. Each reply is flushed, because the simulator waits for it.
func run(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, 1<<20), bufio.NewWriterSize(out, 1<<20)
	host := wire.NewHost()
	for {
		line, err := r.ReadBytes('\n')
		if len(line) > 1 {
			reply, batchErr := host.Batch(line)
			if batchErr != nil {
				return batchErr
			}
			if _, writeErr := w.Write(append(reply, '\n')); writeErr != nil {
				return fmt.Errorf("write reply: %w", writeErr)
			}
			if writeErr := w.Flush(); writeErr != nil {
				return fmt.Errorf("flush reply: %w", writeErr)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read batch: %w", err)
		}
	}
}
