package limit

// Sizes of parts of a request, in bytes.
const (
	// SmallHead and SmallBody are the head and the body, and SmallFields the number of lines, that a request has within
	// the memory of its connection. Most requests need no more.
	SmallHead   = 4 << 10
	SmallBody   = 4 << 10
	SmallFields = 32
	// MaxGuaranteedBody is the longest body that is never streamed: if memory is short, its request waits and may be
	// rejected.
	MaxGuaranteedBody = 64 << 10
	// MaxHeldBody is the longest part of one body that is stored. A body that is stored completely can be sent again by
	// another attempt; a longer one is streamed and sent once.
	MaxHeldBody = 1 << 20
	// bodyDivisor divides the free memory: one body that may be streamed may use at most the quotient. Many bodies
	// arrive at the same time, and the first ones must not use all of the memory.
	bodyDivisor = 4
	// longHeadBytes is what a longer head may need: its text, its parsed fields and the copy that a server receives.
	longHeadBytes = 48 << 10
	// uploadBytes and downloadBytes are what streaming a body needs: its buffers and the goroutine that writes it.
	uploadBytes   = 52 << 10
	downloadBytes = 36 << 10
)

// RequestNeed is what a part of a request needs beyond its connection.
type RequestNeed struct {
	Bytes int
	// Open is the part of Bytes that is needed for as long as the client has not sent all of its request.
	Open int
	// Answer is the part of Bytes that is for an answer.
	Answer int
	// Slow is the number of connections to servers that the request may occupy for longer than its server needs.
	Slow int
}

// The needs of the parts of a request.
var (
	LongHeadNeed = RequestNeed{Bytes: longHeadBytes, Open: longHeadBytes, Slow: 1}
	UploadNeed   = RequestNeed{Bytes: uploadBytes, Open: uploadBytes, Slow: 1}
	DownloadNeed = RequestNeed{Bytes: downloadBytes, Answer: downloadBytes, Slow: 1}
)

// AnswerNeed returns the need of a buffer of n bytes for an answer.
func AnswerNeed(n int) RequestNeed { return RequestNeed{Bytes: n, Answer: n} }

// BodyNeed returns the need of a buffer of n bytes for a body, all of which has arrived or not.
func BodyNeed(n int, arrived bool) RequestNeed {
	if arrived {
		return RequestNeed{Bytes: n}
	}
	return RequestNeed{Bytes: n, Open: n}
}

const (
	// openShare is the part of the memory, and of the slow requests, for requests that have not arrived: the rest is for
	// those that have, and for answers.
	openShare = 0.65
	// requestsShare is the part of the memory for requests. The rest is for answers, without which no request would end.
	requestsShare = 0.8
)

// RequestMemory is the only owner of what requests need beyond what their connections have in any case. Each need is
// taken from the same total before it is spent, whatever its kind, so that the sum is bounded for every mix. It also
// leaves memory to requests that have arrived, and connections to servers to those that are not slow. It is not safe
// for concurrent use.
type RequestMemory struct {
	total, used   int // bytes
	maxOpen, open int // bytes
	maxRequests   int // bytes, without those of answers
	answers       int // bytes
	maxSlow, slow int
	maxOpenSlow   int // limit of slow below which a request that has not arrived may be slow
}

// NewRequestMemory returns the request memory of a machine.
func NewRequestMemory(m Machine) *RequestMemory {
	r := &RequestMemory{}
	r.Resize(m)
	return r
}

// Resize changes the totals. What is in use stays in use.
func (r *RequestMemory) Resize(m Machine) {
	r.total = m.RequestBytes()
	r.maxOpen = int(openShare * float64(r.total))
	r.maxRequests = int(requestsShare * float64(r.total))
	r.maxSlow = max(2, m.ServerConnections()/slowDivisor)
	r.maxOpenSlow = max(1, int(openShare*float64(r.maxSlow)))
}

// Take takes a need. It returns false, and takes nothing, if it does not fit.
func (r *RequestMemory) Take(need RequestNeed) bool {
	if need.Bytes < 0 || r.used+need.Bytes > r.total {
		return false
	}
	if requests := need.Bytes - need.Answer; requests > 0 && r.used-r.answers+requests > r.maxRequests {
		return false
	}
	maxSlow := r.maxSlow
	if need.Open > 0 {
		maxSlow = r.maxOpenSlow
	}
	if need.Open > 0 && r.open+need.Open > r.maxOpen || need.Slow > 0 && r.slow+need.Slow > maxSlow {
		return false
	}
	r.used += need.Bytes
	r.answers += need.Answer
	r.open += need.Open
	r.slow += need.Slow
	return true
}

// Grow takes n more bytes for a body that may be streamed and has already taken held bytes. It returns false if the
// body would exceed MaxHeldBody or 1/bodyDivisor of the free memory: the rest of the body must be streamed.
func (r *RequestMemory) Grow(held, n int) bool {
	if n < 0 || held < 0 || held+n > MaxHeldBody || held+n > (r.total-r.used+held)/bodyDivisor {
		return false
	}
	return r.Take(BodyNeed(n, false))
}

// Release releases what Take or Grow has taken.
func (r *RequestMemory) Release(need RequestNeed) {
	r.used -= need.Bytes
	r.answers -= need.Answer
	r.open -= need.Open
	r.slow -= need.Slow
}

// Add returns the sum of two needs.
func (n RequestNeed) Add(other RequestNeed) RequestNeed {
	return RequestNeed{n.Bytes + other.Bytes, n.Open + other.Open, n.Answer + other.Answer, n.Slow + other.Slow}
}
