package listener

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/request/prefixer"
)

func TestPrefixKey(t *testing.T) {
	message := func(content string) json.RawMessage {
		raw, err := json.Marshal(map[string]string{"role": "user", "content": content})
		assert.NoError(t, err)
		return raw
	}
	long := strings.Repeat("x", 100)
	t.Run("the name that engines use", func(t *testing.T) {
		assert.Equal(t, prefixer.KeyOf("oak@v1", "a\nb\n"), prefixKey("oak@v1", []json.RawMessage{message("a"), message("b")}))
		assert.Equal(t, prefixer.KeyOf("oak@v1", long[:64]), prefixKey("oak@v1", []json.RawMessage{message(long)}))
	})
	t.Run("content that is not a string", func(t *testing.T) {
		assert.Equal(t, prefixer.KeyOf("oak@v1", "\n"), prefixKey("oak@v1", []json.RawMessage{json.RawMessage(`7`)}))
	})
}
