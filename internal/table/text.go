package table

import "strings"

// maxRecordedBytes bounds a text in records that outlive the request that it comes from.
// Clients choose some of these texts.
const maxRecordedBytes = 512

// Shorten returns a text that is short enough for such a record.
func Shorten(text string) string {
	if len(text) <= maxRecordedBytes {
		return text
	}
	return strings.Clone(text[:maxRecordedBytes]) + "..."
}
