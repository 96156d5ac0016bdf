package rest

import (
	"bytes"
	"strconv"
	"strings"
)

// defaultColumns is the number of columns of a result without rows. All results of the platform have 3 columns.
const defaultColumns = 3

// SplitPages splits rows of text, as engines return them, into pages of at most size bytes, each with at least one row.
// A result without rows is one empty page.
func SplitPages(body []byte, size int) [][]byte {
	var pages [][]byte
	pageStart, rowStart := 0, 0
	for {
		rowSize := bytes.IndexByte(body[rowStart:], '\n') + 1
		if rowSize == 0 { // the last row, without its line feed
			rowSize = len(body) - rowStart
		}
		if rowStart > pageStart && rowStart+rowSize-pageStart > size {
			pages = append(pages, body[pageStart:rowStart:rowStart])
			pageStart = rowStart
		}
		rowStart += rowSize
		if rowStart == len(body) {
			return append(pages, body[pageStart:])
		}
	}
}

// ParseRows returns the rows of one page of text, by column.
func ParseRows(page []byte) [][]string {
	var rows [][]string
	for line := range strings.Lines(string(page)) {
		rows = append(rows, strings.Split(strings.TrimSuffix(line, "\n"), "\t"))
	}
	return rows
}

// ParsePages returns the pages of SplitPages as rows.
func ParsePages(body []byte, size int) [][][]string {
	var pages [][][]string
	for _, p := range SplitPages(body, size) {
		pages = append(pages, ParseRows(p))
	}
	return pages
}

// DescribeColumns describes the columns of a result by its first row.
func DescribeColumns(pages [][][]string) []Column {
	count := defaultColumns
	if len(pages) > 0 && len(pages[0]) > 0 {
		count = len(pages[0][0])
	}
	columns := make([]Column, count)
	for i := range columns {
		columns[i] = Column{"c" + strconv.Itoa(i+1), "varchar", TypeSignature{"varchar", []any{}}}
	}
	return columns
}
