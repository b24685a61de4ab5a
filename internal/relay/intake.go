package relay

import (
	"context"
	"io"
	"net/http"

	"basilrudder/internal/membudget"
)

// requestCost is what a request in progress takes in bytes beside its body and answer: buffers and the
// stacks of goroutines.
const requestCost = 16 << 10

// Intake counts what a request, and its caller's connection, hold of the instance's memory.
type Intake interface {
	membudget.Holder
	// Shed reports whether the request was given up for others.
	Shed() bool
	// Ahead reports whether the caller keeps sending requests without waiting for answers.
	Ahead() bool
	// Received records that the request was read whole: it isn't given up for others any more. It
	// reports false if it already was.
	Received() bool
}

// budgetIntake is the Intake of a request whose connection is not counted.
type budgetIntake struct {
	budget *membudget.Budget
	held   int64
}

func newBudgetIntake(b *membudget.Budget) func(context.Context) Intake {
	return func(context.Context) Intake { return &budgetIntake{budget: b} }
}

// Hold implements Intake.
func (i *budgetIntake) Hold(n int64) bool {
	if !i.budget.Take(n, i.held) {
		return false
	}
	i.held += n
	return true
}

// Release implements Intake.
func (i *budgetIntake) Release(n int64) {
	i.held -= n
	i.budget.Release(n)
}

// Shed implements Intake.
func (i *budgetIntake) Shed() bool { return false }

// Ahead implements Intake.
func (i *budgetIntake) Ahead() bool { return false }

// Received implements Intake.
func (i *budgetIntake) Received() bool { return true }

// Hold implements membudget.Holder.
func (f *forwarder) Hold(n int64) bool {
	if !f.intake.Hold(n) {
		return false
	}
	f.held += n
	return true
}

// Release implements membudget.Holder.
func (f *forwarder) Release(n int64) {
	f.intake.Release(n)
	f.held -= n
}

// readAnswer reads an answer of up to maxBufferedAnswer bytes. It is not whole if it is longer, or the
// instance has no memory to hold it.
func (f *forwarder) readAnswer(reader io.Reader) (body []byte, whole bool, err error) {
	body = make([]byte, 0, minBufferedAnswer)
	for {
		if len(body) == cap(body) {
			larger := 2 * cap(body)
			if larger > maxBufferedAnswer || !f.Hold(int64(larger)) {
				return body, false, nil
			}
			smaller := cap(body)
			body = append(make([]byte, 0, larger), body...)
			if smaller > minBufferedAnswer {
				f.Release(int64(smaller))
			}
		}
		n, err := reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, true, nil
		}
		if err != nil {
			return body, false, err
		}
	}
}

// bodyReader returns a reader of the request's body up to a limit in bytes; 0 for none.
func (f *forwarder) bodyReader(limit int64) io.Reader {
	if limit > 0 {
		return http.MaxBytesReader(f.w, f.hr.Body, limit)
	}
	return f.hr.Body
}
