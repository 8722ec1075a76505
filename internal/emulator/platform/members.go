package platform

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/winchhead/winchhead/internal/membership"
)

// Distortion is a set of errors in the membership list.
type Distortion struct {
	// Missing are members that the list leaves out.
	Missing []membership.NodeID
	// Extra are listed although they are not members.
	Extra []membership.ListedMember
}

// memberList holds the actual membership and the list that is served.
type memberList struct {
	real         []membership.ListedMember
	revision     uint64                    // number of lists encoded so far
	listed       []membership.ListedMember // real as it was MemberLag ago
	changes      uint64                    // number of changes of real
	listedChange uint64                    // the latest change that listed contains
	distortion   Distortion
	encoded      *encodedList // nil after a change
}

// encodedList is the encoded form of the list.
type encodedList struct {
	body []byte
	etag string
}

// SetMembers replaces the membership. The list shows it after the lag.
func (p *Platform) SetMembers(members []membership.ListedMember) {
	p.changeMembers(func([]membership.ListedMember) []membership.ListedMember {
		return slices.Clone(members)
	})
}

// PutMember adds a member or replaces the one of the same node. The list shows
// it after the lag.
func (p *Platform) PutMember(member membership.ListedMember) {
	p.changeMembers(func(members []membership.ListedMember) []membership.ListedMember {
		upsert(&members, memberName, member)
		return members
	})
}

// RemoveMember removes a member, if it is one. The list shows it after the lag.
func (p *Platform) RemoveMember(node membership.NodeID) {
	p.changeMembers(func(members []membership.ListedMember) []membership.ListedMember {
		return slices.DeleteFunc(members, hasName(memberName, string(node)))
	})
}

// Members returns the actual membership, which the list can differ from.
func (p *Platform) Members() []membership.ListedMember {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return slices.Clone(p.members.real)
}

// Distort applies a distortion to the list at once; the zero Distortion removes it.
func (p *Platform) Distort(distortion Distortion) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.members.distortion = distortion
	p.members.encoded = nil
	p.broadcast()
}

// changeMembers applies edit to a copy of the members and lists the result after
// the lag. The lag is the same for all changes, so they are listed in their order.
func (p *Platform) changeMembers(edit func([]membership.ListedMember) []membership.ListedMember) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	next := edit(slices.Clone(p.members.real))
	p.members.real = next
	p.members.changes++
	if p.options.MemberLag <= 0 {
		p.setListed(next)
		return
	}
	change := p.members.changes
	time.AfterFunc(p.options.MemberLag, func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		if change > p.members.listedChange {
			p.members.listedChange = change
			p.setListed(next)
		}
	})
}

// setListed replaces the served list; the mutex is held.
func (p *Platform) setListed(members []membership.ListedMember) {
	p.members.listed = members
	p.members.encoded = nil
	p.broadcast()
}

// encode returns the encoded list with the distortion applied; the platform's
// mutex is held.
func (l *memberList) encode() (*encodedList, error) {
	if l.encoded != nil {
		return l.encoded, nil
	}
	listed := append([]membership.ListedMember{}, l.listed...)
	for _, missing := range l.distortion.Missing {
		listed = slices.DeleteFunc(listed, hasName(memberName, string(missing)))
	}
	for _, extra := range l.distortion.Extra {
		upsert(&listed, memberName, extra)
	}
	l.revision++
	body, err := json.Marshal(struct {
		Revision uint64                    `json:"revision"`
		Members  []membership.ListedMember `json:"members"`
	}{l.revision, listed})
	if err != nil {
		return nil, err
	}
	l.encoded = &encodedList{body: body, etag: fmt.Sprintf("%q", fmt.Sprintf("%016x", xxhash.Sum64(body)))}
	return l.encoded, nil
}

func memberName(member membership.ListedMember) string { return string(member.Node) }
