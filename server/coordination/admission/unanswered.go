package admission

import (
	"slices"
	"time"
)

const (
	// usualMultiple and usualDeviations bound the usual time to the first byte of an answer: a multiple of the mean service time
	// of its kind, and the mean and a number of mean deviations. With exponential service times, one answer in 50 takes longer.
	usualMultiple   = 3
	usualDeviations = 4
	// usualDecay is the factor by which the usual time of a kind decays with each of its requests while its estimate is lower.
	// The estimate itself follows some tens of requests only.
	usualDecay = 0.99
	// usualRequests is the number of requests of a kind that must have been sent before any is judged. The estimate of the first
	// ones is that of a few.
	usualRequests = 30
	// certainMultiple is the multiple of the usual time beyond which a request is judged at a target that is not known to leave
	// requests unanswered. No answer of a target that is 2.5 times slower for moments took longer in the replay.
	certainMultiple = 2
	// trialMultiple is that multiple for a request that a target which keeps broken-off requests could not hold. With twice the
	// usual time, targets that drop them and are slow for moments were taken for such ones.
	trialMultiple = 3
	// usualMin covers pauses of the machine, which last for tens of milliseconds.
	usualMin = 150 * time.Millisecond
	// laterAnswers is the number of requests sent later that must have been answered: a target that answers nothing at all is
	// slow or gone, which its deadline and the connection tell.
	laterAnswers = 2
	// silentFor is the time after a verdict for which a target counts as one that leaves requests unanswered.
	silentFor = time.Minute
	// silentVerdicts is the number of verdicts in that time from which it does. One may be due to a pause of the target.
	silentVerdicts = 2
	// judgeInterval is the shortest time between two looks at the requests without an answer.
	judgeInterval = 25 * time.Millisecond
	// provenFor is the time after which the older half of what is known of the requests that a target holds is forgotten.
	provenFor = 2 * time.Second
	// proofsMax bounds the answers that wait for their evaluation. There are less than 100 at a full target of usual speed.
	proofsMax = 512
)

// sentRequest is a request that was sent to the target and that it has not answered.
type sentRequest struct {
	// number counts the requests in the order in which they were sent.
	number uint64
	kind   uint32
	sent   time.Time
	// load is the number of requests that the target may have held with this one when it was sent.
	load int
	// abandonable requests may run at another target instead.
	abandonable bool
	// begun is true once a byte of the answer has arrived. suspect is true once the answer takes longer than usual, from when on
	// the request is not counted among those that the target holds. judged is true once it counts as unanswered, reduced if fewer
	// requests are offered since.
	begun, suspect, judged, reduced bool
}

// proof is a request that the target answered, and with it the number of requests that it held. It counts at due: by then the
// requests that were sent before and that are not answered are suspects, and no longer counted in load.
type proof struct {
	number uint64
	load   int
	due    time.Time
	// usual is true if the target did not take longer than usual.
	usual bool
}

// inFlight decides which requests a target does not answer.
//
// It addresses targets that never answer a request which they cannot queue, nor any further one on its connection: without
// a verdict such a request waits until its deadline, and holds one of the slots meanwhile. Noisy targets, on which some
// requests take many times longer than usual, must not be taken for such ones: they answer as many at a time as they are sent.
type inFlight struct {
	last uint64
	list []sentRequest
	// answered are the numbers of the latest requests, by the time they were sent, that were answered; the highest first.
	answered [laterAnswers]uint64
	// proofs wait for their evaluation. proven are the largest loads of the current period and of the one before.
	proofs   []proof
	proven   [2]int
	provenAt time.Time
	// usual are the usual times to the first byte of an answer, by kind; longest is the longest of them.
	usual   map[uint32]usualTime
	longest time.Duration
	// verdicts counts the verdicts on requests beyond what the target was seen to hold, the latest of them at verdictAt.
	verdicts  int
	verdictAt time.Time
}

func (f *inFlight) reset() {
	*f = inFlight{last: f.last}
}

func (f *inFlight) find(number uint64) *sentRequest {
	for i := range f.list {
		if f.list[i].number == number {
			return &f.list[i]
		}
	}
	return nil
}

// noteAnswered remembers an answered request if it is among the latest.
func (f *inFlight) noteAnswered(number uint64) {
	for i, other := range f.answered {
		if number > other {
			f.answered[i], number = number, other
		}
	}
}

// holds returns the number of requests that the target was seen to hold lately.
func (f *inFlight) holds() int { return max(f.proven[0], f.proven[1]) }

// recount changes the loads of the requests that were sent after one that turns out to be held by the target, or not to be.
func (f *inFlight) recount(after uint64, change int) {
	for i := range f.list {
		if f.list[i].number > after {
			f.list[i].load += change
		}
	}
	for i := range f.proofs {
		if f.proofs[i].number > after {
			f.proofs[i].load += change
		}
	}
}

// evaluate takes over the proofs that are due.
func (s *State) evaluate(now time.Time) {
	f := &s.inFlight
	if now.Sub(f.provenAt) >= provenFor {
		f.proven[1], f.proven[0], f.provenAt = f.proven[0], 0, now
	}
	n := 0
	for ; n < len(f.proofs) && !now.Before(f.proofs[n].due); n++ {
		p := &f.proofs[n]
		// What is beyond the stated slots is an estimate of what the target does with broken-off requests.
		f.proven[0] = max(f.proven[0], min(p.load, s.slots))
		if p.usual && p.load > s.slots {
			s.capacity.trialPassed()
		}
	}
	f.proofs = slices.Delete(f.proofs, 0, n)
}

// Sent notes that a request is sent to the target now, and returns its number. abandonable requests may run at another target
// if this one does not answer.
func (s *State) Sent(now time.Time, kind uint32, abandonable bool) uint64 {
	load := 1 + s.capacity.occupied(now)
	for i := range s.inFlight.list {
		if !s.inFlight.list[i].suspect {
			load++
		}
	}
	s.inFlight.noteUsual(kind, s.times.of(kind))
	s.inFlight.last++
	s.inFlight.list = append(s.inFlight.list, sentRequest{number: s.inFlight.last, kind: kind, sent: now, load: load, abandonable: abandonable})
	return s.inFlight.last
}

// Began notes the first byte of an answer.
func (s *State) Began(number uint64) {
	if f := s.inFlight.find(number); f != nil {
		f.begun = true
	}
}

// Completed removes a request from those without an answer, and reports whether it was judged unanswered and nothing of its
// answer has arrived since.
func (s *State) Completed(now time.Time, number uint64, answered bool) (unanswered bool) {
	at := slices.IndexFunc(s.inFlight.list, func(f sentRequest) bool { return f.number == number })
	if at < 0 {
		return false
	}
	f := s.inFlight.list[at]
	s.inFlight.list = slices.Delete(s.inFlight.list, at, at+1)
	if !answered {
		return f.judged && !f.begun
	}
	s.inFlight.noteAnswered(number)
	if f.suspect {
		s.inFlight.recount(number, 1)
	}
	if f.judged {
		s.withdraw(&f)
	}
	if len(s.inFlight.proofs) < proofsMax {
		usual := now.Sub(f.sent) <= s.times.of(f.kind).beyond(trialDeviations)
		s.inFlight.proofs = append(s.inFlight.proofs, proof{number: number, load: f.load, due: f.sent.Add(s.inFlight.longest + usualMin), usual: usual})
	}
	return false
}

// withdraw takes back the consequences of a verdict on a request that the target has answered after all.
func (s *State) withdraw(f *sentRequest) {
	s.Withdrawn++
	s.inFlight.verdicts = 0
	if f.reduced {
		s.capacity.reduction = max(0, s.capacity.reduction-1)
	}
}

// isSilent reports whether the target has left a request unanswered lately.
func (s *State) isSilent(now time.Time) bool {
	return s.inFlight.verdicts >= silentVerdicts && now.Sub(s.inFlight.verdictAt) < silentFor
}

// usualTime is the usual time to the first byte of the answers to a kind of requests.
type usualTime struct {
	limit    time.Duration
	requests int
}

// noteUsual follows the usual time of a kind, of which a request is sent.
func (f *inFlight) noteUsual(kind uint32, times estimate) {
	u := f.usual[kind]
	limit := max(usualMin, usualMultiple*times.mean, times.beyond(usualDeviations))
	u.limit = max(limit, time.Duration(usualDecay*float64(u.limit)))
	u.requests = min(u.requests+1, usualRequests)
	if f.usual == nil || len(f.usual) >= kindsMax {
		f.usual = make(map[uint32]usualTime)
	}
	f.usual[kind] = u
	f.longest = max(u.limit, time.Duration(usualDecay*float64(f.longest)))
}

// usualLimit returns the time to the first byte of its answer beyond which a request of a kind is suspect.
func (s *State) usualLimit(kind uint32) time.Duration {
	return max(usualMin, s.inFlight.usual[kind].limit)
}

// isBeyondHeld reports whether a request was sent on top of more than the target has lately held. A target with less than half
// of its stated slots in use that has not been silent is slow, not full.
func (s *State) isBeyondHeld(now time.Time, f *sentRequest) bool {
	return f.load > s.inFlight.holds() && (s.isSilent(now) || s.settings.HoldBroken || 2*f.load > s.slots)
}

// answerLimit returns the time to the first byte of its answer beyond which a request is judged unanswered; false if it is not
// judged at all, because the target has lately held as many requests and is not known to keep broken-off ones.
func (s *State) answerLimit(now time.Time, f *sentRequest) (time.Duration, bool) {
	beyond, silent := s.isBeyondHeld(now, f), s.isSilent(now)
	switch {
	case f.load > s.slots && s.capacity.afterBreak != AfterBreakKeeps:
		return trialMultiple * s.usualLimit(f.kind), true
	case beyond && silent:
		return s.usualLimit(f.kind), true
	case beyond, s.capacity.afterBreak == AfterBreakKeeps:
		return certainMultiple * s.usualLimit(f.kind), true
	default:
		return 0, false
	}
}

// awaits reports whether a request may still be judged.
func (s *State) awaits(f *sentRequest) bool {
	return !f.begun && !f.judged && s.times.knows(f.kind) && s.inFlight.usual[f.kind].requests >= usualRequests
}

// UnansweredCheckAt returns the time at which FindUnanswered must be called; false if no request waits for its answer.
func (s *State) UnansweredCheckAt(now time.Time) (time.Time, bool) {
	if len(s.inFlight.list) == 0 {
		return time.Time{}, false
	}
	at := now.Add(usualMin)
	for i := range s.inFlight.list {
		f := &s.inFlight.list[i]
		if !s.awaits(f) {
			continue
		}
		if due := f.sent.Add(s.usualLimit(f.kind)); !f.suspect && due.Before(at) {
			at = due
		}
		if limit, ok := s.answerLimit(now, f); ok && f.sent.Add(limit).Before(at) {
			at = f.sent.Add(limit)
		}
	}
	if least := now.Add(judgeInterval); at.Before(least) {
		at = least
	}
	return at, true
}

// FindUnanswered returns the numbers of the requests that are to be abandoned, because the target answered others that were sent later
// and has not answered these for far longer than usual. Requests that may not run again are judged, so that fewer are sent to
// the target, but not abandoned: the target may be at work on them.
func (s *State) FindUnanswered(now time.Time) (abandoned []uint64) {
	evidence := s.inFlight.answered[laterAnswers-1]
	for i := range s.inFlight.list {
		f := &s.inFlight.list[i]
		if s.awaits(f) && !f.suspect && f.number < evidence && now.Sub(f.sent) >= s.usualLimit(f.kind) {
			f.suspect = true
			s.inFlight.recount(f.number, -1)
		}
	}
	s.evaluate(now)
	for i := range s.inFlight.list {
		f := &s.inFlight.list[i]
		limit, ok := s.answerLimit(now, f)
		if !ok || !f.suspect || !s.awaits(f) || now.Sub(f.sent) < limit {
			continue
		}
		s.markUnanswered(now, f)
		if f.abandonable {
			abandoned = append(abandoned, f.number)
		}
	}
	return abandoned
}

func (s *State) markUnanswered(now time.Time, f *sentRequest) {
	f.judged = true
	s.Unanswered++
	beyond := s.isBeyondHeld(now, f)
	switch {
	case f.load > s.slots:
		// The target was sent more than it states only if it drops broken-off requests.
		s.capacity.trialFailed(now)
	case s.capacity.afterBreak == AfterBreakKeeps:
		// Its slot is likely to be one that a broken-off request still has.
		s.capacity.growMargin()
	case beyond && f.sent.After(s.capacity.verdictAt):
		// Requests that were sent before the latest reduction say nothing about the slots that are offered since.
		f.reduced = s.capacity.reduce(now, s.slots, s.KindTime(f.kind))
	}
	if beyond {
		if now.Sub(s.inFlight.verdictAt) >= silentFor {
			s.inFlight.verdicts = 0
		}
		s.inFlight.verdicts++
		s.inFlight.verdictAt = now
	}
}
