package soak

import (
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"strings"

	"jasperpin/internal/core"
	"jasperpin/internal/emulator"
)

const (
	// longObject is the object of requests that are answered with crowdAnswerSize bytes.
	longObject      = "long"
	crowdAnswerSize = 4 << 20
	// plainAnswerSize is the size of an answer of no special form, in bytes.
	plainAnswerSize = 24
	// specialFormOdds is the number of requests of which one gets an answer of a special form, in plans with all forms.
	specialFormOdds = 4
)

// crowdAnswer is the body of all answers to crowds: a body for each would take the harness's time and memory.
var crowdAnswer = make([]byte, crowdAnswerSize)

// formSizes are the sizes of answers of a special form, in bytes.
var formSizes = []int{plainAnswerSize, 14_000, core.MaxBufferedAnswer, core.MaxBufferedAnswer + 1, 140_000}

// formOf returns the form of the answer to a request, which is the same at all servers.
func (p *Plan) formOf(requestID string) emulator.AnswerForm {
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, requestID) // writing to a hash never fails
	random := rand.New(rand.NewPCG(p.Seed, hash.Sum64()))
	if !p.AllForms || random.IntN(specialFormOdds) > 0 {
		return emulator.AnswerForm{Size: plainAnswerSize}
	}
	return emulator.AnswerForm{
		Framing: emulator.Framing(random.IntN(int(emulator.NumFramings))), Pace: emulator.Pace(random.IntN(int(emulator.NumPaces))),
		Size: formSizes[random.IntN(len(formSizes))],
	}
}

// isLong reports whether an answer is long: its time is that of its first byte.
func isLong(form emulator.AnswerForm) bool { return form.Size > core.MaxBufferedAnswer }

// mayBeLong reports whether a node may take an answer for a long one while its server is writing it: one without a length
// of which half as much may have arrived.
func mayBeLong(form emulator.AnswerForm) bool {
	return isLong(form) || form.Framing != emulator.FramedByLength && form.Size > core.MaxBufferedAnswer/2
}

// answerText returns what a server writes into the body of the answer to a request, repeated to the size of its form.
func answerText(requestID string, server int) string {
	return fmt.Sprintf("%s by %d.", requestID, server)
}

// isAnswer reports whether a body is the answer of a server to a request.
func isAnswer(body, requestID string, form emulator.AnswerForm, servers int) bool {
	for server := range servers {
		if strings.HasPrefix(body, answerText(requestID, server)[:min(len(body), len(requestID)+4)]) && body == string(form.FillBody(answerText(requestID, server))) {
			return true
		}
	}
	return false
}
