package listener

import (
	"crypto/sha256"
	"crypto/subtle"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/crocusring/crocusring/internal/control/configurer"
	"github.com/crocusring/crocusring/internal/state/keeper"
)

func bearerToken(ctx *fasthttp.RequestCtx) string {
	const scheme = "Bearer "
	header := string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))
	if !strings.HasPrefix(header, scheme) {
		return ""
	}
	return header[len(scheme):]
}

// team returns the team whose credential a request carries. A credential
// has the form TEAM.SECRET, so that only the digest of that team is compared. The
// error is errUnauthorized.
func (l *Listener) team(ctx *fasthttp.RequestCtx) (keeper.Team, error) {
	credential := bearerToken(ctx)
	name, _, _ := strings.Cut(credential, ".")
	team, known := l.Tree.Catalog().Teams[name]
	digest := sha256.Sum256([]byte(credential))
	same := subtle.ConstantTimeCompare(digest[:], team.Digest[:]) == 1
	if !known || !same {
		return keeper.Team{}, errUnauthorized
	}
	return team, nil
}

// operator authenticates a request for settings or status. The result has no team
// if the request carries the credential of the platform's operators, otherwise the team
// whose credential it carries. The error is errUnauthorized.
func (l *Listener) operator(ctx *fasthttp.RequestCtx) (configurer.Operator, error) {
	digest := sha256.Sum256([]byte(bearerToken(ctx)))
	if subtle.ConstantTimeCompare(digest[:], l.OperatorDigest[:]) == 1 {
		return configurer.Operator{}, nil
	}
	team, err := l.team(ctx)
	return configurer.Operator{Team: team.Name}, err
}

func (l *Listener) isPeer(ctx *fasthttp.RequestCtx) bool {
	given := sha256.Sum256([]byte(bearerToken(ctx)))
	want := sha256.Sum256([]byte(l.PeerCredential))
	return subtle.ConstantTimeCompare(given[:], want[:]) == 1
}
