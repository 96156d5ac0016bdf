// Command simhost hosts many gateways on the simulator's wire: batches of
// events on standard input, one reply a batch on standard output.
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

// run answers batches until the input ends; each reply is flushed.
func run(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, 1<<20), bufio.NewWriterSize(out, 1<<20)
	host := wire.NewHost()
	for {
		line, err := r.ReadBytes('\n')
		if len(line) > 1 {
			reply, herr := host.Batch(line)
			if herr != nil {
				return herr
			}
			if _, werr := w.Write(append(reply, '\n')); werr != nil {
				return fmt.Errorf("write reply: %w", werr)
			}
			if werr := w.Flush(); werr != nil {
				return fmt.Errorf("flush reply: %w", werr)
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
