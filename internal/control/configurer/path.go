package configurer

import (
	"regexp"
	"strings"

	"github.com/go-faster/errors"
)

var (
	// ErrBadPath tells that a path is not well formed or names nothing that can be set.
	ErrBadPath = errors.New("invalid settings path")
	// ErrForbidden tells that a path lies outside the subtree of the one who asks.
	ErrForbidden = errors.New("settings path is outside your subtree")
)

// Kind says what the value at a path declares.
type Kind string

// Kinds of settings.
const (
	KindModel   Kind = "Model"
	KindAdapter Kind = "Adapter"
	KindService Kind = "Service"
	KindTeam    Kind = "Team"
	KindLimit   Kind = "Limit"
)

// Path is a taken-apart settings path. Owner is the team whose subtree it is
// in, empty for the platform's.
type Path struct {
	Text  string
	Owner string
	Kind  Kind
	Model string // of an adapter
	Name  string
}

const (
	mostPathBytes    = 200
	mostSegmentBytes = 100
)

// subtree returns the prefix of the paths of the path's owner.
func (p Path) subtree() string {
	if p.Owner == "" {
		return "/platform"
	}
	return "/teams/" + p.Owner
}

// segment holds what a path may be made of. There is one way to write a path:
// nothing is decoded, folded or cleaned, so that no other spelling can name a
// path in a foreign subtree.
var segment = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)

// ParsePath takes apart a path. The error is ErrBadPath.
func ParsePath(text string) (Path, error) {
	parts := strings.Split(text, "/")
	if len(text) > mostPathBytes || parts[0] != "" {
		return Path{}, errors.Wrapf(ErrBadPath, "%.60q", text)
	}
	for _, part := range parts[1:] {
		if !segment.MatchString(part) || strings.Contains(part, "..") {
			return Path{}, errors.Wrapf(ErrBadPath, "%.60q", text)
		}
	}
	p := Path{Text: text}
	rest := parts[1:]
	switch {
	case len(rest) > 1 && rest[0] == "platform":
		rest = rest[1:]
	case len(rest) > 2 && rest[0] == "teams" && isTeamName(rest[1]):
		p.Owner = rest[1]
		rest = rest[2:]
	default:
		return Path{}, errors.Wrapf(ErrBadPath, "%.60q", text)
	}
	if !p.fill(rest) {
		return Path{}, errors.Wrapf(ErrBadPath, "%.60q", text)
	}
	return p, nil
}

// fill sets the kind and name from the part of a path below its owner.
func (p *Path) fill(rest []string) bool {
	switch {
	case len(rest) == 2 && rest[0] == "models":
		p.Kind = KindModel
	case len(rest) == 3 && rest[0] == "adapters":
		p.Kind = KindAdapter
		p.Model = rest[1]
	case len(rest) == 2 && rest[0] == "services" && p.Owner == "":
		p.Kind = KindService
	case len(rest) == 2 && rest[0] == "teams" && p.Owner == "" && isTeamName(rest[1]):
		p.Kind = KindTeam
	case len(rest) == 1 && rest[0] == "limits" && p.Owner != "":
		p.Kind = KindLimit
	default:
		return false
	}
	p.Name = rest[len(rest)-1]
	return true
}

// isTeamName reports whether a segment can name a team. A credential is
// TEAM.SECRET, so that a team's name has no dot.
func isTeamName(name string) bool {
	return !strings.Contains(name, ".")
}

// Operator is the one who asks for a change: the team of that name, or the
// platform's operators if Team is empty.
type Operator struct {
	Team string
}

// MayChange reports whether the operator may change a path.
func (o Operator) MayChange(p Path) bool {
	return o.Team == "" || o.Team == p.Owner
}

// Subtree returns the prefix of the paths that the operator owns. The platform's
// operators may change all paths; those of the teams are the teams' own.
func (o Operator) Subtree() string {
	return Path{Owner: o.Team}.subtree() + "/"
}
