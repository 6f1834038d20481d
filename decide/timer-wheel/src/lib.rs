//! A hierarchical timer wheel that holds no clock: it is told the time.
//!
//! A gateway sets and clears a few timers for every call, and nearly all are cleared before they fall due. Setting
//! and clearing cost a few steps whatever the number of timers, where an ordered set costs more the more it holds.
//! Entries that fall due at one moment come out in the order in which they were set, so that a run can be replayed.
//! Source of the idea: Varghese and Lauck, "Hashed and Hierarchical Timing Wheels", 1987.

/// Slots of one level: 64, so that a level's occupied slots are one word.
const BITS: u32 = 6;
const SLOTS: usize = 1 << BITS;
/// Levels; together they span 64^6 ticks. What lies further off waits in the last level and is placed again.
const LEVELS: usize = 6;
const NONE: u32 = u32::MAX;

/// Names a timer that was set. Stale handles are harmless.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Handle {
    index: u32,
    stamp: u32,
}

#[derive(Debug)]
struct Entry<T> {
    at: i64,
    order: u64,
    stamp: u32,
    slot: u32,
    next: u32,
    prev: u32,
    value: Option<T>,
}

/// Timers by the moment, in microseconds, at which they fall due.
#[derive(Debug)]
pub struct Wheel<T> {
    tick: i64,
    /// Ticks passed: every entry before this one has come out.
    now: i64,
    heads: Vec<u32>,
    occupied: [u64; LEVELS],
    entries: Vec<Entry<T>>,
    free: u32,
    len: usize,
    order: u64,
    due: Vec<(i64, u64, u32)>,
}

impl<T> Wheel<T> {
    /// A wheel that starts at `now`, with ticks of so many microseconds (at least one).
    pub fn new(now: i64, tick: i64) -> Wheel<T> {
        let tick = tick.max(1);
        Wheel {
            tick,
            now: now.div_euclid(tick),
            heads: vec![NONE; LEVELS * SLOTS],
            occupied: [0; LEVELS],
            entries: Vec::new(),
            free: NONE,
            len: 0,
            order: 0,
            due: Vec::new(),
        }
    }

    /// Timers that are set.
    pub fn len(&self) -> usize {
        self.len
    }
    /// Whether none is set.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Sets a timer. It comes out at the first tick at or after `at`; one already past at the next `expire`.
    pub fn set(&mut self, at: i64, value: T) -> Handle {
        let order = self.order;
        self.order += 1;
        let index = if self.free != NONE {
            let index = self.free;
            self.free = self.entries[index as usize].next;
            index
        } else {
            assert!(
                self.entries.len() < NONE as usize,
                "more timers than a handle can name"
            );
            self.entries.push(Entry {
                at,
                order,
                stamp: 0,
                slot: NONE,
                next: NONE,
                prev: NONE,
                value: None,
            });
            self.entries.len() as u32 - 1
        };
        let e = &mut self.entries[index as usize];
        (e.at, e.order, e.value) = (at, order, Some(value));
        let stamp = e.stamp;
        self.len += 1;
        self.place(index);
        Handle { index, stamp }
    }

    /// What was set, unless it has come out or was cleared.
    pub fn get_mut(&mut self, handle: Handle) -> Option<&mut T> {
        let e = self.entries.get_mut(handle.index as usize)?;
        e.value.as_mut().filter(|_| e.stamp == handle.stamp)
    }

    /// Clears a timer; gives its value if it had not come out yet.
    pub fn clear(&mut self, handle: Handle) -> Option<T> {
        let e = self.entries.get(handle.index as usize)?;
        if e.stamp != handle.stamp || e.value.is_none() {
            return None;
        }
        self.unlink(handle.index);
        self.release(handle.index)
    }

    /// A moment before which nothing falls due; none: nothing is set. Exact within the lowest level, else the
    /// moment at which a higher level is placed again.
    pub fn next(&self) -> Option<i64> {
        if self.len == 0 {
            return None;
        }
        let mut best: Option<i64> = None;
        for level in 0..LEVELS {
            if self.occupied[level] == 0 {
                continue;
            }
            let shift = BITS * level as u32;
            let at = (self.now >> shift) & (SLOTS as i64 - 1);
            let ahead = self.occupied[level]
                .rotate_right(at as u32)
                .trailing_zeros() as i64;
            let tick = (((self.now >> shift) + ahead) << shift).max(self.now);
            best = Some(best.map_or(tick, |b| b.min(tick)));
        }
        best.map(|tick| tick.saturating_mul(self.tick))
    }

    /// Takes out all that is due at `now`, in order of due time and then of setting.
    pub fn expire(&mut self, now: i64, mut out: impl FnMut(T)) {
        let to = now.div_euclid(self.tick);
        debug_assert!(self.due.is_empty());
        while self.now <= to {
            // A whole turn without entries in the lower levels is skipped at once.
            let Some(next) = self
                .next()
                .map(|n| n.div_euclid(self.tick))
                .filter(|n| *n <= to)
            else {
                self.now = to;
                break;
            };
            self.now = next.max(self.now);
            self.cascade();
            self.collect(to);
            if self.now == to {
                break;
            }
            self.now += 1;
        }
        let mut due = std::mem::take(&mut self.due);
        due.sort_unstable();
        for (_, _, index) in due.drain(..) {
            if let Some(value) = self.release(index) {
                out(value);
            }
        }
        self.due = due;
    }

    /// Places anew what waits in higher levels' slots that begin at this tick.
    fn cascade(&mut self) {
        for level in (1..LEVELS).rev() {
            let shift = BITS * level as u32;
            if self.now & ((1i64 << shift) - 1) != 0 && self.now != 0 {
                continue;
            }
            let slot = level * SLOTS + ((self.now >> shift) as usize & (SLOTS - 1));
            let mut index = self.heads[slot];
            self.heads[slot] = NONE;
            self.occupied[level] &= !(1 << (slot % SLOTS));
            while index != NONE {
                let next = self.entries[index as usize].next;
                self.place(index);
                index = next;
            }
        }
    }

    /// Moves the present slot of the lowest level to `due`.
    fn collect(&mut self, to: i64) {
        debug_assert!(self.now <= to);
        let slot = self.now as usize & (SLOTS - 1);
        let mut index = std::mem::replace(&mut self.heads[slot], NONE);
        self.occupied[0] &= !(1 << slot);
        while index != NONE {
            let e = &mut self.entries[index as usize];
            let next = e.next;
            e.slot = NONE;
            self.due.push((e.at, e.order, index));
            index = next;
        }
    }

    fn place(&mut self, index: u32) {
        let at = self.entries[index as usize].at;
        let ticks = at.div_euclid(self.tick) + i64::from(at.rem_euclid(self.tick) != 0);
        let span = 1i64 << (BITS * LEVELS as u32);
        let ticks = ticks.clamp(self.now, self.now + span - (span >> BITS) - 1);
        // The lowest level whose slot numbers still tell this tick from the present one.
        let differ = (ticks ^ self.now) as u64;
        let level = if differ == 0 {
            0
        } else {
            ((63 - differ.leading_zeros()) / BITS) as usize
        };
        let level = level.min(LEVELS - 1);
        let slot = level * SLOTS + ((ticks >> (BITS * level as u32)) as usize & (SLOTS - 1));
        let head = self.heads[slot];
        if head != NONE {
            self.entries[head as usize].prev = index;
        }
        let e = &mut self.entries[index as usize];
        (e.slot, e.next, e.prev) = (slot as u32, head, NONE);
        self.heads[slot] = index;
        self.occupied[level] |= 1 << (slot % SLOTS);
    }

    fn unlink(&mut self, index: u32) {
        let (slot, next, prev) = {
            let e = &self.entries[index as usize];
            (e.slot, e.next, e.prev)
        };
        if slot == NONE {
            return;
        }
        if prev == NONE {
            self.heads[slot as usize] = next;
            if next == NONE {
                self.occupied[slot as usize / SLOTS] &= !(1 << (slot as usize % SLOTS));
            }
        } else {
            self.entries[prev as usize].next = next;
        }
        if next != NONE {
            self.entries[next as usize].prev = prev;
        }
    }

    fn release(&mut self, index: u32) -> Option<T> {
        let e = &mut self.entries[index as usize];
        let value = e.value.take()?;
        e.stamp = e.stamp.wrapping_add(1);
        (e.slot, e.prev, e.next) = (NONE, NONE, self.free);
        self.free = index;
        self.len -= 1;
        Some(value)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use std::collections::BTreeMap;

    #[derive(Clone, Debug)]
    enum Step {
        Set(i64),
        Clear(usize),
        Pass(i64),
    }

    fn step() -> impl Strategy<Value = Step> {
        let far = prop_oneof![
            0..2_000i64,
            0..5_000_000i64,
            0..400_000_000_000i64,
            Just(i64::MAX / 2)
        ];
        prop_oneof![
            4 => far.clone().prop_map(Step::Set),
            2 => (0usize..64).prop_map(Step::Clear),
            3 => prop_oneof![0..3_000i64, 0..100_000i64, 0..90_000_000i64].prop_map(Step::Pass),
        ]
    }

    proptest! {
        #![proptest_config(ProptestConfig::with_cases(400))]
        /// Against an ordered map: the same values, never early, at most a tick late, in the same order.
        #[test]
        fn agrees_with_an_ordered_map(start in prop_oneof![Just(0i64), 0..1i64 << 45], steps in
            proptest::collection::vec(step(), 1..120)) {
            let tick = 1_000;
            let (mut wheel, mut plain) = (Wheel::new(start, tick), BTreeMap::new());
            let (mut now, mut handles) = (start, Vec::new());
            for (n, s) in steps.into_iter().enumerate() {
                match s {
                    Step::Set(d) => {
                        let at = now.saturating_add(d);
                        handles.push((wheel.set(at, n), at, n));
                        plain.insert((at, n), n);
                    }
                    Step::Clear(k) if !handles.is_empty() => {
                        let (handle, at, n) = handles[k % handles.len()];
                        prop_assert_eq!(wheel.clear(handle), plain.remove(&(at, n)));
                    }
                    Step::Clear(_) => {}
                    Step::Pass(d) => {
                        now += d;
                        let mut out = Vec::new();
                        wheel.expire(now, |v| out.push(v));
                        let mut want = Vec::new();
                        while let Some(((at, n), v)) = plain.pop_first() {
                            // Due once the tick that follows it has begun.
                            if at.div_euclid(tick) + i64::from(at % tick != 0) > now.div_euclid(tick) {
                                plain.insert((at, n), v);
                                break;
                            }
                            want.push(v);
                        }
                        prop_assert_eq!(out, want);
                    }
                }
                prop_assert_eq!(wheel.len(), plain.len());
                if let (Some(next), Some(((at, _), _))) = (wheel.next(), plain.first_key_value()) {
                    prop_assert!(next <= (*at).max(now) + tick, "next {} after the first due {}", next, at);
                }
                prop_assert_eq!(wheel.next().is_none(), plain.is_empty());
            }
        }
    }
}
