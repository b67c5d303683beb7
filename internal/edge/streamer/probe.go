package streamer

import (
	"encoding/json"
	"io"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusring/crocusring/internal/edge/connector"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const pathReport = "/v1/report"

// Probe reports over a new connection whether the engine at address no longer
// runs as an incarnation: it tells another one, refuses connections or drops
// them. An engine that only gives no answer is not taken for crashed, since the
// way to it may be cut.
func (c *Client) Probe(address, incarnation string, until time.Time) (crashed bool) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetHost(address)
	req.Header.SetRequestURI(pathReport)
	answer, err := c.pools.For(address).Do(connector.Call{Request: req, Fresh: true, FirstByte: until, Until: until})
	if err != nil {
		return errors.Is(err, connector.ErrRefused) || errors.Is(err, connector.ErrCut)
	}
	defer answer.Close()
	body, err := io.ReadAll(io.LimitReader(answer, maxEventBytes))
	if err != nil {
		return errors.Is(err, connector.ErrCut)
	}
	var report messenger.EngineReport
	if json.Unmarshal(body, &report) != nil || report.Incarnation == "" {
		return false
	}
	return report.Incarnation != incarnation
}
