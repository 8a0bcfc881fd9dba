//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Figures of the case second-answers.
const (
	secondAnswerAfter = 12 * time.Millisecond // after the first one
	secondAnswerOdds  = 20                    // one good end in so many is answered twice
	answersFor        = 60 * time.Second
)

func init() { cases["second-answers"] = secondAnswersCase }

// secondAnswersCase has engines repeat some of their answers some milliseconds late, on the same connection. Each client must get the rows
// that an engine made for its own statement.
func secondAnswersCase(w *world) (broken int, err error) {
	f, err := w.startFeed("\n", 0)
	if err != nil {
		return 0, err
	}
	d, err := startDrainWorld(w, f, usualTraffic)
	if err != nil {
		return 0, err
	}
	if w.trouble {
		for _, e := range d.engines {
			e.setRepeat(secondAnswerAfter, secondAnswerOdds)
		}
	}
	time.Sleep(answersFor)
	d.stopTraffic()
	return d.foreign, nil
}

// repeater decides which answers an engine sends twice.
type repeater struct {
	mu    sync.Mutex
	after time.Duration
	odds  int // 0: none
}

func (r *repeater) setRepeat(after time.Duration, odds int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.after, r.odds = after, odds
}

// draw returns after how long the next answer is repeated, and whether it is.
func (r *repeater) draw() (after time.Duration, repeat bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.after, r.odds > 0 && rand.IntN(r.odds) == 0
}

// rowsOf returns the rows that an engine makes for a statement.
func rowsOf(id, engine string) string { return fmt.Sprintf("id\t%s\t%s\n", id, engine) }
