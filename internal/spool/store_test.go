package spool

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/spool/ledger"
	"aniseloft/internal/testdir"
)

func testOptions(now *float64) Options {
	return Options{SegmentBytes: 3000, NowMS: func() float64 { return *now },
		Limits: ledger.Limits{Total: 1 << 20, RetentionMS: 1000, MaxRetentionMS: 5000, RetryAfterMS: 100}}
}

func pageOf(name string, i int) []byte {
	return bytes.Repeat([]byte(fmt.Sprintf("%s page %d\t", name, i)), 10+i*7)
}

func requireResult(t *testing.T, st *Store, name string, pageCount int) {
	for i := range pageCount {
		b, isLast, err := st.Read(name, i)
		require.NoError(t, err, "%s page %d", name, i)
		require.Equal(t, pageOf(name, i), b)
		require.Equal(t, i == pageCount-1, isLast)
	}
}

func TestCorruptPageIsDetectedAlsoAfterCompaction(t *testing.T) {
	now := 0.0
	dir, err := OpenDirectory(testdir.Dir(t))
	require.NoError(t, err)
	for _, m := range []Medium{dir, &faultyMedium{segments: map[uint64]*faultySegment{}}} {
		st, _, err := Open(m, testOptions(&now))
		require.NoError(t, err)
		for _, name := range []string{"a", "b", "c"} {
			w, err := st.Begin(name, "x", "report", 0)
			require.NoError(t, err)
			for i := range 4 {
				require.NoError(t, w.WritePage(pageOf(name, i)))
			}
			require.NoError(t, w.Seal())
		}
		faulty, ok := m.(*faultyMedium)
		if !ok {
			requireResult(t, st, "a", 4)
			require.NoError(t, st.Close())
			st, found, err := Open(m, testOptions(&now))
			require.NoError(t, err)
			require.Equal(t, Recovery{Sealed: 3}, found)
			requireResult(t, st, "c", 4)
			continue
		}
		at := st.results[IDFromName("b")].pageLocations[2]
		faulty.segments[at.segment].data[at.offset+headerSize+5] ^= 1
		_, _, err = st.Read("b", 2)
		require.ErrorIs(t, err, ErrCorruptPage)
		require.NoError(t, st.Drop("a"))
		require.NoError(t, st.Drop("c")) // the drop starts a compaction, which copies the records of b
		st, _, err = Open(faulty.restart(rand.New(rand.NewPCG(1, 1))), testOptions(&now))
		require.NoError(t, err)
		_, _, err = st.Read("b", 2)
		require.ErrorIs(t, err, ErrCorruptPage, "compaction must not make the corrupt page valid")
		_, _, err = st.Read("b", 1)
		require.NoError(t, err)
	}
}

// Compressed pages must be read unchanged, also after a compaction and a restart. A page that does not shrink is stored
// uncompressed, and a flipped bit in a compressed page is detected.
func TestCompressedPagesAreSmallerAndReadTheSame(t *testing.T) {
	now := 0.0
	m := &faultyMedium{segments: map[uint64]*faultySegment{}}
	options := testOptions(&now)
	options.Compress = true
	st, _, err := Open(m, options)
	require.NoError(t, err)
	writeSealed(t, st, "a", 4)
	var uncompressedBytes int64
	for i := range 4 {
		uncompressedBytes += int64(len(pageOf("a", i)))
	}
	reservedBytes := st.Usage().ReservedBytes
	require.Less(t, reservedBytes, uncompressedBytes/2, "text compresses to less than half")
	noise := make([]byte, 2000)
	rng := rand.New(rand.NewPCG(5, 5))
	for i := range noise {
		noise[i] = byte(rng.Uint32())
	}
	w, err := st.Begin("noise", "x", "report", 0)
	require.NoError(t, err)
	require.NoError(t, w.WritePage(noise))
	require.NoError(t, w.Seal())
	require.Zero(t, st.results[IDFromName("noise")].pageLocations[0].flags, "a page that does not shrink is stored uncompressed")
	b, _, err := st.Read("noise", 0)
	require.NoError(t, err)
	require.Equal(t, noise, b)

	writeSealed(t, st, "b", 6)
	require.NoError(t, st.Drop("b")) // the drop starts a compaction, which copies the records of a
	m = m.restart(rand.New(rand.NewPCG(1, 1)))
	st, _, err = Open(m, options)
	require.NoError(t, err)
	requireResult(t, st, "a", 4)
	at := st.results[IDFromName("a")].pageLocations[1]
	require.Equal(t, byte(flagZstd), at.flags)
	m.segments[at.segment].data[at.offset+headerSize+3] ^= 1
	_, _, err = st.Read("a", 1)
	require.ErrorIs(t, err, ErrCorruptPage)
}

func writeSealed(t *testing.T, st *Store, name string, pageCount int) {
	w, err := st.Begin(name, "x", "report", 0)
	require.NoError(t, err)
	for i := range pageCount {
		require.NoError(t, w.WritePage(pageOf(name, i)))
	}
	require.NoError(t, w.Seal())
}

// A DELETE request while a page is being read must not remove the page's segment.
func TestSegmentIsNotRemovedWhileItIsRead(t *testing.T) {
	now := 0.0
	m := &faultyMedium{segments: map[uint64]*faultySegment{}}
	st, _, err := Open(m, testOptions(&now))
	require.NoError(t, err)
	writeSealed(t, st, "a", 12)
	writeSealed(t, st, "b", 12)
	firstSegment := st.results[IDFromName("a")].pageLocations[0].segment
	m.onRead = func() {
		require.NoError(t, st.Drop("a"))
		require.Contains(t, m.segments, firstSegment)
	}
	b, _, err := st.Read("a", 0)
	require.NoError(t, err)
	require.Equal(t, pageOf("a", 0), b)
	require.NoError(t, st.Drop("b"))
	require.NotContains(t, m.segments, firstSegment, "the segment is removed after the read")
}

func TestFailedWriteReservesNothing(t *testing.T) {
	now := 0.0
	m := &faultyMedium{segments: map[uint64]*faultySegment{}, transient: true}
	st, _, err := Open(m, testOptions(&now))
	require.NoError(t, err)
	w, err := st.Begin("a", "x", "report", 0)
	require.NoError(t, err)
	require.NoError(t, w.WritePage(make([]byte, 100)))
	m.failAt = m.stepCount + 1
	require.ErrorIs(t, w.WritePage(make([]byte, 100)), ErrMedium)
	require.EqualValues(t, 100, st.Usage().ReservedBytes)
	require.NoError(t, w.WritePage(make([]byte, 100)), "the disk has space again")
	require.NoError(t, w.Abort())
	require.Zero(t, st.Usage().ReservedBytes)
}

// A flipped bit in the page number of a header must not make one page be read as another.
func TestRecordWithCorruptHeaderIsNotRead(t *testing.T) {
	now := 0.0
	m := &faultyMedium{segments: map[uint64]*faultySegment{}}
	st, _, err := Open(m, testOptions(&now))
	require.NoError(t, err)
	writeSealed(t, st, "a", 3)
	at := st.results[IDFromName("a")].pageLocations[1]
	m.segments[at.segment].data[at.offset+pageOffset] ^= 2
	inspection, err := Inspect(m, true)
	require.NoError(t, err)
	require.Len(t, inspection.Damage, 1)
	require.Equal(t, at.offset, inspection.Damage[0].Offset)
	_, found, err := Open(m.restart(rand.New(rand.NewPCG(1, 1))), testOptions(&now))
	require.NoError(t, err)
	require.Zero(t, found.Sealed)
	require.Len(t, found.Damage, 1)
}

func TestReadsUntilRetentionEnds(t *testing.T) {
	now := 0.0
	options := testOptions(&now)
	options.Limits.Total = 1000
	st, _, err := Open(NewMemory(), options)
	require.NoError(t, err)
	w, err := st.Begin("a", "x", "report", 100)
	require.NoError(t, err)
	require.NoError(t, w.WritePage(make([]byte, 600)))
	b, isLast, err := st.Read("a", 0)
	require.NoError(t, err)
	require.Len(t, b, 600)
	require.False(t, isLast, "the result is not sealed")
	var capacityErr CapacityError
	require.ErrorAs(t, w.WritePage(make([]byte, 600)), &capacityErr, "the spool fills up in the middle of a result")
	require.NoError(t, w.WritePage(make([]byte, 400)), "a smaller page fits")
	require.NoError(t, w.Seal())
	require.ErrorIs(t, w.WritePage(nil), ErrExpired)
	_, _, err = st.Read("a", 2)
	require.ErrorIs(t, err, ErrNoPage)
	_, err = st.Begin("b", "x", "report", 500)
	require.ErrorAs(t, err, &capacityErr)
	require.Equal(t, 100.0, capacityErr.RetryAfterMS)
	now = 1000
	_, _, err = st.Read("a", 1)
	require.ErrorIs(t, err, ErrExpired, "the result expires at the end of its retention")
	_, err = st.Begin("b", "x", "report", 500)
	require.NoError(t, err, "the expired result is evicted")
	_, err = st.Begin("a", "x", "report", 0)
	require.Error(t, err, "a name is used once")
}

func TestConcurrentWritersAndReaders(t *testing.T) {
	st, _, err := Open(NewMemory(), Options{SegmentBytes: 2000, NowMS: func() float64 { return 0 },
		Limits: ledger.Limits{Total: 1 << 20, RetentionMS: 1, MaxRetentionMS: 1}})
	require.NoError(t, err)
	writerErrs := make(chan error, 64)
	for k := range 64 {
		go func() {
			name := fmt.Sprint("r", k)
			w, err := st.Begin(name, "x", "report", 0)
			for i := 0; i < 20 && err == nil; i++ {
				if err = w.WritePage(pageOf(name, i)); err == nil {
					var b []byte
					if b, _, err = st.Read(name, i); err == nil && !bytes.Equal(b, pageOf(name, i)) {
						err = errors.New("the page differs from the written one")
					}
				}
			}
			if err == nil {
				err = errors.Join(w.Seal(), st.Drop(name))
			}
			writerErrs <- err
		}()
	}
	for range 64 {
		require.NoError(t, <-writerErrs)
	}
	require.Zero(t, st.Usage().ReservedBytes)
	require.LessOrEqual(t, st.Usage().Segments, 2)
}

func FuzzScan(f *testing.F) {
	validRecord := appendRecord(nil, header{kind: kindPage, resultID: IDFromName("a"), checksum: 7}, []byte("page"))
	f.Add(validRecord)
	f.Add(append(validRecord, validRecord[:30]...))
	f.Fuzz(func(t *testing.T, b []byte) {
		endOffset, _ := scan(1, bytes.NewReader(b), int64(len(b)), true, func(_ header, at location, _ []byte) {
			if at.offset+at.size() > int64(len(b)) {
				t.Fatal("a record extends beyond the end of the segment")
			}
		})
		if endOffset > int64(len(b)) {
			t.Fatal("the returned end is beyond the end of the segment")
		}
	})
}
