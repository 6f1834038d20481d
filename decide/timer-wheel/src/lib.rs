//! A hierarchical timer wheel that takes the time as an argument.
//!
//! A gateway sets a few timers for every call and clears nearly all of them before they are due. Setting and clearing a
//! timer takes constant time, unlike in an ordered set. Timers that are due at the same time expire in the order in which
//! they were set, so that a run can be replayed.
//!
//! See Varghese and Lauck, "Hashed and Hierarchical Timing Wheels", 1987.
//!
//! ```
//! use tansy_timer_wheel::Wheel;
//!
//! let mut wheel = Wheel::new(0, 500);
//! wheel.set(1_000, "first");
//! let second = wheel.set(2_000, "second");
//! wheel.clear(second);
//! let mut due = Vec::new();
//! wheel.expire(5_000, |value| due.push(value));
//! assert_eq!(due, ["first"]);
//! ```

/// Bits of the time that select the slot within a level.
const SLOT_BITS: u32 = 6;
/// Slots of a level. The occupied slots of a level fit the bits of a `u64`.
const SLOTS: usize = 1 << SLOT_BITS;
/// Levels, which together span 64^6 ticks. Timers further in the future wait in the last level and are placed again.
const LEVELS: usize = 6;
/// Marks the absence of an entry or slot.
const NIL: u32 = u32::MAX;

/// Identifies a timer that was set. A handle of a timer that expired or was cleared has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Handle {
    index: u32,
    generation: u32,
}

/// Storage of one timer, linked into the list of its slot or into the list of free entries.
#[derive(Debug)]
struct Entry<T> {
    at: i64,
    sequence: u64,
    /// Incremented when the entry is freed, to detect stale handles.
    generation: u32,
    slot: u32,
    next: u32,
    previous: u32,
    value: Option<T>,
}

/// A due entry. Ordered by time, then by the order in which timers were set.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DueEntry {
    at: i64,
    sequence: u64,
    index: u32,
}

/// Timers ordered by due time, in microseconds.
#[derive(Debug)]
pub struct Wheel<T> {
    tick: i64,
    /// Current tick: all timers due before it have expired.
    now: i64,
    /// The first entry of each slot, level by level.
    heads: Vec<u32>,
    /// For each level, a bit for each slot that contains an entry.
    occupied: [u64; LEVELS],
    entries: Vec<Entry<T>>,
    /// The first free entry.
    free: u32,
    len: usize,
    next_sequence: u64,
    /// Reused between calls of `expire` to avoid allocations.
    due: Vec<DueEntry>,
}

impl<T> Wheel<T> {
    /// Creates a wheel that starts at `now`, with a resolution of `tick` microseconds (at least 1).
    pub fn new(now: i64, tick: i64) -> Wheel<T> {
        let tick = tick.max(1);
        Wheel {
            tick,
            now: now.div_euclid(tick),
            heads: vec![NIL; LEVELS * SLOTS],
            occupied: [0; LEVELS],
            entries: Vec::new(),
            free: NIL,
            len: 0,
            next_sequence: 0,
            due: Vec::new(),
        }
    }

    /// The number of timers that are set.
    pub fn len(&self) -> usize {
        self.len
    }
    /// Whether no timer is set.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Sets a timer. It expires at the first tick at or after `at`, or at the next `expire` if `at` has passed.
    pub fn set(&mut self, at: i64, value: T) -> Handle {
        let index = self.allocate();
        let entry = &mut self.entries[index as usize];
        entry.at = at;
        entry.sequence = self.next_sequence;
        entry.value = Some(value);
        let generation = entry.generation;
        self.next_sequence += 1;
        self.len += 1;
        self.place(index);
        Handle { index, generation }
    }

    /// Takes an entry from the free list or adds one.
    fn allocate(&mut self) -> u32 {
        if self.free != NIL {
            let index = self.free;
            self.free = self.entries[index as usize].next;
            return index;
        }
        assert!(
            self.entries.len() < NIL as usize,
            "too many timers for 32-bit handles"
        );
        self.entries.push(Entry {
            at: 0,
            sequence: 0,
            generation: 0,
            slot: NIL,
            next: NIL,
            previous: NIL,
            value: None,
        });
        self.entries.len() as u32 - 1
    }

    /// The value of a timer, unless it expired or was cleared.
    pub fn get_mut(&mut self, handle: Handle) -> Option<&mut T> {
        let entry = self.entries.get_mut(handle.index as usize)?;
        let current = entry.generation == handle.generation;
        entry.value.as_mut().filter(|_| current)
    }

    /// Clears a timer and returns its value, unless it expired or was cleared.
    pub fn clear(&mut self, handle: Handle) -> Option<T> {
        let entry = self.entries.get(handle.index as usize)?;
        if entry.generation != handle.generation || entry.value.is_none() {
            return None;
        }
        self.unlink(handle.index);
        self.release(handle.index)
    }

    /// A time before which no timer is due, or `None` if no timer is set. Exact for timers in the lowest level; otherwise
    /// the time at which timers move to a lower level.
    pub fn next_due(&self) -> Option<i64> {
        if self.len == 0 {
            return None;
        }
        let mut earliest: Option<i64> = None;
        for level in 0..LEVELS {
            if self.occupied[level] == 0 {
                continue;
            }
            let shift = SLOT_BITS * level as u32;
            let at = (self.now >> shift) & (SLOTS as i64 - 1);
            let slots_ahead = self.occupied[level]
                .rotate_right(at as u32)
                .trailing_zeros() as i64;
            let tick = (((self.now >> shift) + slots_ahead) << shift).max(self.now);
            earliest = Some(earliest.map_or(tick, |earliest| earliest.min(tick)));
        }
        earliest.map(|tick| tick.saturating_mul(self.tick))
    }

    /// Removes all timers that are due at `now` and passes their values to `on_due`, by due time and then in the order in
    /// which they were set.
    pub fn expire(&mut self, now: i64, mut on_due: impl FnMut(T)) {
        let target = now.div_euclid(self.tick);
        debug_assert!(self.due.is_empty());
        while self.now <= target {
            // Skips ticks without entries.
            let Some(next) = self
                .next_due()
                .map(|at| at.div_euclid(self.tick))
                .filter(|tick| *tick <= target)
            else {
                self.now = target;
                break;
            };
            self.now = next.max(self.now);
            self.cascade();
            self.collect(target);
            if self.now == target {
                break;
            }
            self.now += 1;
        }
        let mut due = std::mem::take(&mut self.due);
        due.sort_unstable();
        for entry in due.drain(..) {
            if let Some(value) = self.release(entry.index) {
                on_due(value);
            }
        }
        self.due = due;
    }

    /// Moves entries down from the slots of higher levels that begin at the current tick.
    fn cascade(&mut self) {
        for level in (1..LEVELS).rev() {
            let shift = SLOT_BITS * level as u32;
            if self.now & ((1i64 << shift) - 1) != 0 && self.now != 0 {
                continue;
            }
            let slot = level * SLOTS + ((self.now >> shift) as usize & (SLOTS - 1));
            let mut index = self.heads[slot];
            self.heads[slot] = NIL;
            self.occupied[level] &= !(1 << (slot % SLOTS));
            while index != NIL {
                let next = self.entries[index as usize].next;
                self.place(index);
                index = next;
            }
        }
    }

    /// Moves the entries in the current slot of the lowest level to `due`.
    fn collect(&mut self, target: i64) {
        debug_assert!(self.now <= target);
        let slot = self.now as usize & (SLOTS - 1);
        let mut index = std::mem::replace(&mut self.heads[slot], NIL);
        self.occupied[0] &= !(1 << slot);
        while index != NIL {
            let entry = &mut self.entries[index as usize];
            entry.slot = NIL;
            self.due.push(DueEntry {
                at: entry.at,
                sequence: entry.sequence,
                index,
            });
            index = entry.next;
        }
    }

    /// Links an entry into the slot of its due time.
    fn place(&mut self, index: u32) {
        let at = self.entries[index as usize].at;
        let ticks = at.div_euclid(self.tick) + i64::from(at.rem_euclid(self.tick) != 0);
        let span = 1i64 << (SLOT_BITS * LEVELS as u32);
        let ticks = ticks.clamp(self.now, self.now + span - (span >> SLOT_BITS) - 1);
        // The lowest level at which the slots of this tick and of the current tick differ.
        let difference = (ticks ^ self.now) as u64;
        let level = if difference == 0 {
            0
        } else {
            ((63 - difference.leading_zeros()) / SLOT_BITS) as usize
        };
        let level = level.min(LEVELS - 1);
        let slot = level * SLOTS + ((ticks >> (SLOT_BITS * level as u32)) as usize & (SLOTS - 1));
        let head = self.heads[slot];
        if head != NIL {
            self.entries[head as usize].previous = index;
        }
        let entry = &mut self.entries[index as usize];
        entry.slot = slot as u32;
        entry.next = head;
        entry.previous = NIL;
        self.heads[slot] = index;
        self.occupied[level] |= 1 << (slot % SLOTS);
    }

    /// Unlinks an entry from the list of its slot, if it is in one.
    fn unlink(&mut self, index: u32) {
        let entry = &self.entries[index as usize];
        let slot = entry.slot;
        let next = entry.next;
        let previous = entry.previous;
        if slot == NIL {
            return;
        }
        if previous == NIL {
            self.heads[slot as usize] = next;
            if next == NIL {
                self.occupied[slot as usize / SLOTS] &= !(1 << (slot as usize % SLOTS));
            }
        } else {
            self.entries[previous as usize].next = next;
        }
        if next != NIL {
            self.entries[next as usize].previous = previous;
        }
    }

    /// Frees an entry that is in no list and returns its value.
    fn release(&mut self, index: u32) -> Option<T> {
        let entry = &mut self.entries[index as usize];
        let value = entry.value.take()?;
        entry.generation = entry.generation.wrapping_add(1);
        entry.slot = NIL;
        entry.previous = NIL;
        entry.next = self.free;
        self.free = index;
        self.len -= 1;
        Some(value)
    }
}
