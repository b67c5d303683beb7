package listener

import (
	"encoding/json"
	"strings"

	"github.com/crocusring/crocusring/internal/request/prefixer"
)

// prefixBytes is the length of the beginning of a prompt that engines use to identify
// the prompt in cache events.
const prefixBytes = 64

// prefixKey returns the key of the beginning of a prompt. Content that is not a
// string is treated as empty.
func prefixKey(model string, messages []json.RawMessage) prefixer.Key {
	var b strings.Builder
	for _, raw := range messages {
		var message struct {
			Content string `json:"content"`
		}
		_ = json.Unmarshal(raw, &message)
		b.WriteString(message.Content)
		b.WriteByte('\n')
		if b.Len() >= prefixBytes {
			break
		}
	}
	prompt := b.String()
	return prefixer.KeyOf(model, prompt[:min(prefixBytes, len(prompt))])
}
