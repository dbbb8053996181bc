package control

import "time"

// passable tells from which offset on a state is passed on to peers that read the source themselves. Each state is held
// back for the same time. Where states follow each other faster than that, a peer that cannot read the source still gets
// the newest one when the first one that it lacks has been held back long enough.
type passable struct {
	hold time.Duration
	// offset is that of the newest state which has been held back long enough.
	offset uint64
	// recent are the states after it, oldest first.
	recent []installation
}

type installation struct {
	offset uint64
	at     time.Time
}

func (p *passable) installed(offset uint64, at time.Time) {
	p.recent = append(p.recent, installation{offset: offset, at: at})
}

// upTo returns the offset below which a peer has waited long enough.
func (p *passable) upTo(now time.Time) uint64 {
	passed := 0
	for _, i := range p.recent {
		if i.at.Add(p.hold).After(now) {
			break
		}
		p.offset = i.offset
		passed++
	}
	p.recent = append(p.recent[:0], p.recent[passed:]...)
	return p.offset
}

// next returns the time until the next state has been held back long enough; 0 or less if none is held back.
func (p *passable) next(now time.Time) time.Duration {
	if len(p.recent) == 0 {
		return 0
	}
	return p.recent[0].at.Add(p.hold).Sub(now)
}
