package crashers

import (
	"encoding/binary"
	"slices"
	"strconv"
)

// Request is a request as crashes may be blamed on it: as a whole, or on a part of its prompt that other
// requests share.
type Request struct {
	Whole Subject
	// Parts are the shared parts of its prompt in order; nil for none. The part that belongs to this
	// request alone is not among them.
	Parts []Subject
}

// maxParts bounds the parts of a prompt that are considered. Of more, the last ones are, since a prompt goes
// from what many requests share to what few do.
const maxParts = 32

// NewRequest returns a request whose prompt has the given shared parts, by their ids.
func NewRequest(whole Subject, parts []uint64) Request {
	r := Request{Whole: whole}
	for _, id := range parts[max(len(parts)-maxParts, 0):] {
		if p := partSubject(whole.Team, id); !slices.Contains(r.Parts, p) {
			r.Parts = append(r.Parts, p)
		}
	}
	return r
}

// partSubject returns the subject of a part of the prompts of a team.
func partSubject(team string, id uint64) Subject {
	content := HashContent([]byte("part"), []byte(team), binary.BigEndian.AppendUint64(nil, id))
	return Subject{Team: team, Content: content, Part: strconv.FormatUint(id, 16)}
}

// partWithID returns the part of the request's prompt that has an id.
func (r *Request) partWithID(id string) (Subject, bool) {
	i := slices.IndexFunc(r.Parts, func(p Subject) bool { return p.Part == id })
	if i < 0 {
		return Subject{}, false
	}
	return r.Parts[i], true
}

// asTeam returns the parts of the request's prompt as another team would send them.
func (r *Request) asTeam(team string) Request {
	var out Request
	for _, p := range r.Parts {
		if id, err := strconv.ParseUint(p.Part, 16, 64); err == nil {
			out.Parts = append(out.Parts, partSubject(team, id))
		}
	}
	return out
}

// Has reports whether a subject is the request or a part of its prompt.
func (r *Request) Has(s Subject) bool { return r.Whole == s || slices.Contains(r.Parts, s) }

// Subjects returns all that crashes under the request may be blamed on.
func (r *Request) Subjects() []Subject { return append([]Subject{r.Whole}, r.Parts...) }

// WithoutParts returns the request without the parts of its prompt.
func (r *Request) WithoutParts() Request { return Request{Whole: r.Whole} }
