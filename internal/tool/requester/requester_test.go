package requester

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/wire/messenger"
	"github.com/crocusring/crocusring/internal/wire/poster"
)

func refusal(status int, code string) error {
	return &poster.StatusError{Status: status, Body: []byte(`{"Code":"` + code + `"}`)}
}

// client returns a client whose calls end with the given errors in turn, the last one
// repeatedly, and the list of its calls.
func client(addresses []string, answers ...error) (*Client, *[]poster.Call) {
	c := New(addresses, "secret")
	calls := &[]poster.Call{}
	c.do = func(call poster.Call) error {
		*calls = append(*calls, call)
		answer := answers[0]
		if len(answers) > 1 {
			answers = answers[1:]
		}
		return answer
	}
	start := time.Now()
	c.now = func() time.Time { return start }
	c.sleep = func(d time.Duration) { start = start.Add(d) }
	return c, calls
}

func TestChange(t *testing.T) {
	for _, c := range []struct {
		name    string
		answers []error
		want    error
		calls   int
	}{
		{"accepted", []error{nil}, nil, 1},
		{"refused", []error{refusal(409, "Conflict")}, ErrRefused, 1},
		{"another instance answers", []error{poster.ErrNotSent, nil}, nil, 2},
		{"an instance that is not ready is skipped", []error{refusal(503, "NotReady"), nil}, nil, 2},
		{"a change whose answer was lost is sent again", []error{poster.ErrNoAnswer, poster.ErrNotSent, nil}, nil, 3},
		{"no instance answers", []error{poster.ErrNotSent}, ErrUnreachable, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			client, calls := client([]string{"a", "b"}, c.answers...)
			_, err := client.Change([]messenger.SettingChange{{}})
			assert.ErrorIs(t, err, c.want)
			assert.Len(t, *calls, c.calls)
			for _, call := range *calls {
				assert.Equal(t, (*calls)[0].In, call.In, "one operation ID")
			}
		})
	}
	t.Run("a change whose answer was lost has an unknown outcome", func(t *testing.T) {
		client, _ := client([]string{"a", "b"}, poster.ErrNoAnswer, poster.ErrNotSent)
		_, err := client.Change([]messenger.SettingChange{{}})
		assert.ErrorIs(t, err, ErrUnknownOutcome)
	})
}
