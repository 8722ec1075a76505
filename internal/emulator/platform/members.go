package platform

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/winchhead/winchhead/internal/membership"
)

// Distortion makes the membership list wrong while it is set.
type Distortion struct {
	// Missing are left out of the list although they are members.
	Missing []membership.NodeID
	// Ghosts are listed although they are no members.
	Ghosts []membership.ListedMember
}

// memberList is the membership as it is and as the list shows it.
type memberList struct {
	real       []membership.ListedMember
	revision   uint64                    // counts the lists that were shown
	listed     []membership.ListedMember // real as it was one lag ago
	changes    uint64                    // changes of real
	shown      uint64                    // the latest change in listed
	distortion Distortion
	served     *servedList // the encoded form; nil after a change
}

// servedList is the encoded form of the list.
type servedList struct {
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
		put(&members, memberName, member)
		return members
	})
}

// RemoveMember removes a member, if it is one. The list shows it after the lag.
func (p *Platform) RemoveMember(node membership.NodeID) {
	p.changeMembers(func(members []membership.ListedMember) []membership.ListedMember {
		return slices.DeleteFunc(members, named(memberName, string(node)))
	})
}

// Members returns the membership as it is, not as the list shows it.
func (p *Platform) Members() []membership.ListedMember {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return slices.Clone(p.members.real)
}

// Distort makes the list wrong at once; the zero Distortion mends it at once.
func (p *Platform) Distort(distortion Distortion) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.members.distortion = distortion
	p.members.served = nil
	p.broadcast()
}

// changeMembers applies edit to a copy of the members and shows the result after
// the lag. Lags are equal, so that results show in the order of the changes.
func (p *Platform) changeMembers(edit func([]membership.ListedMember) []membership.ListedMember) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	next := edit(slices.Clone(p.members.real))
	p.members.real = next
	p.members.changes++
	if p.options.MemberLag <= 0 {
		p.show(next)
		return
	}
	change := p.members.changes
	time.AfterFunc(p.options.MemberLag, func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		if change > p.members.shown {
			p.members.shown = change
			p.show(next)
		}
	})
}

// show puts members in the list; the mutex is held.
func (p *Platform) show(members []membership.ListedMember) {
	p.members.listed = members
	p.members.served = nil
	p.broadcast()
}

// serve returns the encoded list with its distortion; the platform's mutex is
// held.
func (l *memberList) serve() (*servedList, error) {
	if l.served != nil {
		return l.served, nil
	}
	listed := append([]membership.ListedMember{}, l.listed...)
	for _, missing := range l.distortion.Missing {
		listed = slices.DeleteFunc(listed, named(memberName, string(missing)))
	}
	for _, ghost := range l.distortion.Ghosts {
		put(&listed, memberName, ghost)
	}
	l.revision++
	body, err := json.Marshal(struct {
		Revision uint64                    `json:"revision"`
		Members  []membership.ListedMember `json:"members"`
	}{l.revision, listed})
	if err != nil {
		return nil, err
	}
	l.served = &servedList{body: body, etag: fmt.Sprintf("%q", fmt.Sprintf("%016x", xxhash.Sum64(body)))}
	return l.served, nil
}

func memberName(member membership.ListedMember) string { return string(member.Node) }
