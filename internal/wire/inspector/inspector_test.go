package inspector

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

type inner struct {
	Count int `json:"Count"`
}

type document struct {
	Name  string
	Rate  float64
	On    bool
	Inner inner
	List  []inner
	Any   map[string]json.RawMessage
}

func assertFaults(t *testing.T, text string, want ...string) {
	t.Helper()
	got := []string{}
	for _, f := range DecodeCommented([]byte(text), &document{}).Faults {
		got = append(got, fmt.Sprintf("%d %s: %s", f.Line, f.Key, f.Message))
	}
	assert.ElementsMatch(t, want, got)
}

func TestDecodeCommented(t *testing.T) {
	t.Run("a text with comments", func(t *testing.T) {
		assertFaults(t, "{ // Count\n\"Inner\": {\"Count\": 1,}, \"Any\": {\"x\": null}}")
	})
	t.Run("all faults, each at its own line", func(t *testing.T) {
		text := "{\"Inner\": {\n\"Count\": 1},\n/* \"Count\": \n*/\"List\": [{},\n{\"Count\": 1.5}],\n\"name\": 1,\n\"On\": \"x\",\n\"On\": true,\n\"Rate\": null}"
		assertFaults(t, text, "5 List[1].Count: must be a whole number", "6 name: unknown key",
			"7 On: must be true or false", "8 On: key is repeated", "9 Rate: must not be null")
	})
	t.Run("a number out of range", func(t *testing.T) {
		assertFaults(t, "{\n\"Inner\": {\"Count\": 99999999999999999999}}", "2 Inner.Count: value is out of range")
	})
	t.Run("a syntax error", func(t *testing.T) {
		faults := DecodeCommented([]byte("{\n\"Name\" 1}"), &document{}).Faults
		assert.Len(t, faults, 1)
		assert.Equal(t, 2, faults[0].Line)
	})
}

func TestDecode(t *testing.T) {
	for name, text := range map[string]string{
		"comment": `{/* */}`, "trailing data": `{} {}`, "trailing comma": `{"Name":"x",}`, "repeated key": `{"Name":"x","Name":"y"}`,
		"case of a key": `{"NAME":"x"}`, "null": `null`, "empty": ``, "depth": strings.Repeat("[", 1<<20),
	} {
		t.Run(name, func(t *testing.T) {
			assert.ErrorIs(t, Decode([]byte(text), &document{}), ErrInvalid)
		})
	}
}
