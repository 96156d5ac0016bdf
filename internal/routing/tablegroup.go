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
		if group, ok := schemaNumber(tokens[i].text); ok {
			return group
		}
	}
	return 0
}

// isSchema reports whether the token at tokenIndex, which must not be the last token, is a schema name: the last but one
// identifier of a qualified name such as schema.table or catalog.schema.table.
func isSchema(tokens []token, tokenIndex int) bool {
	if !tokens[tokenIndex].isIdentifier || tokens[tokenIndex+1].text != "." {
		return false
	}
	if tokenIndex > 0 && tokens[tokenIndex-1].text == "." && tokenIndex+2 == len(tokens) {
		return false
	}
	hasThreeNames := tokenIndex+3 < len(tokens) && tokens[tokenIndex+2].isIdentifier && tokens[tokenIndex+3].text == "."
	return !hasThreeNames
}

// schemaNumber returns the number after the last underscore of a schema name, if that is a group number.
func schemaNumber(name string) (uint64, bool) {
	underscoreIndex := strings.LastIndexByte(name, '_')
	digits := name[underscoreIndex+1:]
	if underscoreIndex <= 0 || digits == "" || len(digits) > maxGroupDigits || strings.EqualFold(name[:underscoreIndex], stagingSchema) {
		return 0, false
	}
	var group uint64
	for _, digit := range digits {
		if digit < '0' || digit > '9' {
			return 0, false
		}
		group = group*10 + uint64(digit-'0')
	}
	return group, true
}
