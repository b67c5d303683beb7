package streamer

import (
	"bufio"
	"bytes"
	"io"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"
)

func FuzzEventReader(f *testing.F) {
	for _, text := range []string{
		"id: a:0\ndata: x\n\nid: a:1\ndata: y\n\ndata: [DONE]\n\n", "data:\n\n", "id: b:0\n", ": c\r\n\r\n", "event: error\ndata: x\n\n", "id: a:-1\n",
	} {
		f.Add([]byte(text))
	}
	known := []error{io.EOF, ErrTruncated, ErrCrossed, ErrFailed, ErrMalformed}
	f.Fuzz(func(t *testing.T, text []byte) {
		s := &Stream{events: eventReader{id: []byte("a"), lines: bufio.NewReaderSize(bytes.NewReader(text), 16)}}
		for want := 0; ; want++ {
			event, err := s.Next()
			if err != nil {
				isKnown := false
				for _, k := range known {
					isKnown = isKnown || errors.Is(err, k)
				}
				assert.True(t, isKnown, "%v", err)
				return
			}
			assert.Equal(t, want, event.Index, "no event is missing or repeated")
		}
	})
}
