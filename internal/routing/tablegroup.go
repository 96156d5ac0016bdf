package routing

import "strings"

// maxGroupDigits limits the digits of a group number, so that it fits into 64 bits.
const maxGroupDigits = 15

// stagingSchema is the schema prefix whose number is not a group.
const stagingSchema = "staging"

// TableGroup returns the group of the tables that a statement reads or writes: the number after the
// last underscore in the first numbered schema name, for example 17 for sales_17.orders. Strings,
// comments and schemas with the prefix staging are ignored. The result is 0 if there is no group.
func TableGroup(statement string) uint64 {
	tokens := tokenize(statement)
	for i := 0; i+1 < len(tokens); i++ {
		if !isSchema(tokens, i) {
			continue
		}
		if n, ok := schemaNumber(tokens[i].text); ok {
			return n
		}
	}
	return 0
}

// isSchema reports whether token i, which must not be the last token, is a schema name: the last but one
// identifier of a qualified name such as schema.table or catalog.schema.table.
func isSchema(tokens []token, i int) bool {
	if !tokens[i].isIdentifier || tokens[i+1].text != "." {
		return false
	}
	if i > 0 && tokens[i-1].text == "." && i+2 == len(tokens) {
		return false
	}
	hasThreeNames := i+3 < len(tokens) && tokens[i+2].isIdentifier && tokens[i+3].text == "."
	return !hasThreeNames
}

// schemaNumber returns the number after the last underscore of a schema name, if that is a group number.
func schemaNumber(name string) (uint64, bool) {
	underscore := strings.LastIndexByte(name, '_')
	digits := name[underscore+1:]
	if underscore <= 0 || digits == "" || len(digits) > maxGroupDigits || strings.EqualFold(name[:underscore], stagingSchema) {
		return 0, false
	}
	var n uint64
	for _, c := range digits {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + uint64(c-'0')
	}
	return n, true
}
