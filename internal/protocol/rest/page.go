package rest

import (
	"bytes"
	"strconv"
	"strings"
)

// defaultColumnCount is the number of columns of a result without rows. All results of the platform have 3 columns.
const defaultColumnCount = 3

// SplitPages splits rows of text, as engines return them, into pages of at most maxPageBytes, each with at least one row.
// A result without rows is one empty page.
func SplitPages(body []byte, maxPageBytes int) [][]byte {
	var pages [][]byte
	pageStart, rowStart := 0, 0
	for {
		rowSize := bytes.IndexByte(body[rowStart:], '\n') + 1
		if rowSize == 0 { // no line feed was found: this is the last row
			rowSize = len(body) - rowStart
		}
		if rowStart > pageStart && rowStart+rowSize-pageStart > maxPageBytes {
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
	for rowText := range strings.Lines(string(page)) {
		rows = append(rows, strings.Split(strings.TrimSuffix(rowText, "\n"), "\t"))
	}
	return rows
}

// ParsePages returns the pages of SplitPages as rows.
func ParsePages(body []byte, maxPageBytes int) [][][]string {
	var pages [][][]string
	for _, p := range SplitPages(body, maxPageBytes) {
		pages = append(pages, ParseRows(p))
	}
	return pages
}

// DescribeColumns describes the columns of a result by its first row.
func DescribeColumns(pages [][][]string) []Column {
	columnCount := defaultColumnCount
	if len(pages) > 0 && len(pages[0]) > 0 {
		columnCount = len(pages[0][0])
	}
	columns := make([]Column, columnCount)
	for i := range columns {
		columns[i] = Column{"c" + strconv.Itoa(i+1), "varchar", TypeSignature{"varchar", []any{}}}
	}
	return columns
}
