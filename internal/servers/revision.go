package servers

import "strconv"

// Revision orders the states of the store: first by era, then by the number that the
// store counts in each era. A store restored from an older copy begins a new era and
// assigns numbers again, so by the number alone its new states would count as old.
//
// It is a single integer, so that one comparison orders it and it takes no more bytes on
// links than a number. In the first era, 0, it equals the number.
type Revision int64

const (
	// numberBits is the width of the number; the 16 bits above it hold the era. Instances
	// exchange revisions as integers, so all must use the same width.
	numberBits = 47
	// MaxNumber and MaxEra are the largest values that a Revision holds.
	MaxNumber = 1<<numberBits - 1
	MaxEra    = 1<<(63-numberBits) - 1
)

// NewRevision returns the revision of an era and a number; false if one of them is
// negative or too large.
func NewRevision(era, number int64) (r Revision, ok bool) {
	if era < 0 || era > MaxEra || number < 0 || number > MaxNumber {
		return 0, false
	}
	return Revision(era<<numberBits | number), true
}

// Era returns the era of the store.
func (r Revision) Era() int64 { return int64(r) >> numberBits }

// Number returns the store's number within the era.
func (r Revision) Number() int64 { return int64(r) & MaxNumber }

// String returns the number, preceded by the era if that is not the first.
func (r Revision) String() string {
	number := strconv.FormatInt(r.Number(), 10)
	if r.Era() == 0 {
		return number
	}
	return strconv.FormatInt(r.Era(), 10) + "." + number
}
