package configurer

import (
	"regexp"
	"strings"

	"github.com/go-faster/errors"
)

var (
	// ErrBadPath means that a path is malformed or names no setting.
	ErrBadPath = errors.New("invalid settings path")
	// ErrForbidden means that a path is outside the subtree of the operator.
	ErrForbidden = errors.New("settings path is outside your subtree")
)

// Kind is the kind of thing that the value at a path declares.
type Kind string

// Kinds of settings.
const (
	KindModel   Kind = "Model"
	KindAdapter Kind = "Adapter"
	KindService Kind = "Service"
	KindTeam    Kind = "Team"
	KindLimit   Kind = "Limit"
)

// Path is a parsed settings path. Owner is the team in whose subtree it is, or empty
// in the platform's subtree.
type Path struct {
	Text  string
	Owner string
	Kind  Kind
	Model string // of an adapter
	Name  string
}

const (
	maxPathBytes    = 200
	maxSegmentBytes = 100
)

// subtree returns the path of the subtree of the path's owner.
func (p Path) subtree() string {
	if p.Owner == "" {
		return "/platform"
	}
	return "/teams/" + p.Owner
}

// segmentPattern matches a valid segment of a path. Each path has exactly one
// spelling: no escape is decoded, no case folded and no path cleaned, so that no other
// spelling can name a path in another owner's subtree.
var segmentPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)

// ParsePath parses a settings path. The error is ErrBadPath.
func ParsePath(text string) (Path, error) {
	parts := strings.Split(text, "/")
	if len(text) > maxPathBytes || parts[0] != "" {
		return Path{}, errors.Wrapf(ErrBadPath, "%.60q", text)
	}
	for _, part := range parts[1:] {
		if !segmentPattern.MatchString(part) || strings.Contains(part, "..") {
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
	if !p.setKind(rest) {
		return Path{}, errors.Wrapf(ErrBadPath, "%.60q", text)
	}
	return p, nil
}

// setKind sets the kind, model and name from the segments below the owner, and reports
// whether they are valid.
func (p *Path) setKind(rest []string) bool {
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

// isTeamName reports whether a segment can name a team. A credential has the form
// TEAM.SECRET, so a team's name must not contain a dot.
func isTeamName(name string) bool {
	return !strings.Contains(name, ".")
}

// Operator is the originator of a change: the operators of a team, or those of the
// platform if Team is empty.
type Operator struct {
	Team string
}

// MayChange reports whether the operator may change a path.
func (o Operator) MayChange(p Path) bool {
	return o.Team == "" || o.Team == p.Owner
}

// Subtree returns the prefix of the paths that the operator owns. The operators of the
// platform may change all paths, but the subtrees of teams are owned by the teams.
func (o Operator) Subtree() string {
	return Path{Owner: o.Team}.subtree() + "/"
}
