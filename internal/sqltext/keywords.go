package sqltext

// keyword is a keyword, or a group of keywords that are interpreted alike.
type keyword uint8

const (
	kwNone keyword = iota
	kwSelect
	kwFrom
	kwWhere
	kwJoin
	kwOn
	kwGroup
	kwOrder
	kwHaving
	kwUnion
	kwIn
	kwValues
	kwInto
	kwInsert
	kwUpdate
	kwDelete
	kwMerge
	kwUsing
	kwSet
	kwWith
	kwAs
	kwTop
	kwLimit
	kwFetch
	kwOver
	kwDistinct
	kwFor
	kwBetween
	kwApply
	kwAggregate
	kwCopy
	kwTo
	kwBulk
	kwLoad
	kwTruncate
	kwDDL // CREATE, ALTER, DROP
	kwTable
	kwExec
	kwTemporary
	kwBegin
	kwBeforeTable    // may precede a table name: IF, EXISTS, ONLY
	kwSuppressesVerb // an INSERT, UPDATE or DELETE after it is not a verb: THEN, DO, KEY, OR, AFTER, OF
	kwReserved       // any other keyword that cannot be a name: AND, NOT, NULL
)

// keywordTexts lists the words of each keyword in lower case.
var keywordTexts = map[keyword][]string{
	kwSelect:         {"select"},
	kwFrom:           {"from"},
	kwWhere:          {"where"},
	kwJoin:           {"join"},
	kwOn:             {"on"},
	kwGroup:          {"group"},
	kwOrder:          {"order"},
	kwHaving:         {"having"},
	kwUnion:          {"union", "intersect", "except"},
	kwIn:             {"in"},
	kwValues:         {"values"},
	kwInto:           {"into"},
	kwInsert:         {"insert", "replace"},
	kwUpdate:         {"update"},
	kwDelete:         {"delete"},
	kwMerge:          {"merge"},
	kwUsing:          {"using"},
	kwSet:            {"set"},
	kwWith:           {"with"},
	kwAs:             {"as"},
	kwTop:            {"top"},
	kwLimit:          {"limit"},
	kwFetch:          {"fetch"},
	kwOver:           {"over"},
	kwDistinct:       {"distinct"},
	kwFor:            {"for"},
	kwBetween:        {"between", "like", "ilike"},
	kwApply:          {"apply"},
	kwAggregate:      {"count", "sum", "avg", "min", "max", "stddev", "variance", "string_agg", "array_agg", "listagg", "group_concat", "count_big", "percentile_cont", "percentile_disc", "median", "corr"},
	kwCopy:           {"copy"},
	kwTo:             {"to"},
	kwBulk:           {"bulk"},
	kwLoad:           {"load"},
	kwTruncate:       {"truncate"},
	kwDDL:            {"create", "alter", "drop"},
	kwTable:          {"table", "view"},
	kwExec:           {"exec", "execute", "call"},
	kwTemporary:      {"temporary", "temp"},
	kwBegin:          {"begin", "explain", "analyze", "else"},
	kwBeforeTable:    {"if", "exists", "only", "lateral", "ignore", "overwrite", "low_priority"},
	kwSuppressesVerb: {"then", "do", "key", "or", "after", "of", "instead"},
	kwReserved:       {"and", "not", "null", "is", "case", "when", "end", "by", "left", "right", "inner", "outer", "full", "cross", "partition", "all", "any", "asc", "desc"},
}

// keywordTableBits is the binary logarithm of the size of keywordTable.
const keywordTableBits = 9

var (
	// keywordTable is a hash table of the keywords with open addressing and linear probing.
	keywordTable [1 << keywordTableBits]struct {
		text    string
		keyword keyword
	}
	// keywordLengths maps a first letter to a bit set of the lengths of the keywords that begin with it. Most names are
	// ruled out by it, without a lookup in keywordTable.
	keywordLengths [256]uint32
)

func keywordHash(word []byte) uint32 {
	length := len(word)
	first := uint32(word[0]) * 0x9E3779B1
	last := uint32(word[length-1]) * 0x85EBCA6B
	middle := uint32(word[length/2]) * 0xC2B2AE35
	return (first ^ last ^ middle ^ uint32(length)*0x27D4EB2F) >> (32 - keywordTableBits)
}

func init() {
	for keyword, texts := range keywordTexts {
		for _, text := range texts {
			keywordLengths[text[0]] |= 1 << len(text)
			slot := keywordHash([]byte(text))
			for keywordTable[slot].text != "" {
				slot = (slot + 1) % uint32(len(keywordTable))
			}
			keywordTable[slot].text = text
			keywordTable[slot].keyword = keyword
		}
	}
}

// lookUpKeyword returns the keyword that a word in lower case is, or kwNone.
func lookUpKeyword(word []byte) keyword {
	const maxLength = 31 // highest bit of keywordLengths
	if len(word) > maxLength || keywordLengths[word[0]]&(1<<len(word)) == 0 {
		return kwNone
	}
	for slot := keywordHash(word); ; slot = (slot + 1) % uint32(len(keywordTable)) {
		entry := &keywordTable[slot]
		if entry.text == string(word) {
			return entry.keyword
		}
		if entry.text == "" {
			return kwNone
		}
	}
}
