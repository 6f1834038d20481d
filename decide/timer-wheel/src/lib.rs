//! A hierarchical timer wheel without a clock: the time is an argument.
//!
//! A gateway sets and clears a few timers for every call, and nearly all are cleared before they fall due. Setting
//! and clearing cost a few steps whatever the number of timers, where an ordered set costs more the larger it is.
//! Entries that fall due at one moment come out in the order in which they were set, so that a run can be replayed.
//! Source of the idea: Varghese and Lauck, "Hashed and Hierarchical Timing Wheels", 1987.
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

/// Slots of one level: 64, so that a level's occupied slots are one word.
const BITS: u32 = 6;
const SLOTS: usize = 1 << BITS;
/// Levels of slots; together they span 64^6 ticks. What lies further off waits in the last level and is placed again.
const LEVELS: usize = 6;
/// No entry, or no slot.
const NONE: u32 = u32::MAX;

/// Refers to a timer that was set. Stale handles are harmless.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Handle {
    index: u32,
    generation: u32,
}

/// A place for a timer, in the list of its slot or in the list of free places.
#[derive(Debug)]
struct Entry<T> {
    at: i64,
    sequence: u64,
    /// Counts the timers that have had this place, so that a stale handle is known.
    generation: u32,
    slot: u32,
    next: u32,
    previous: u32,
    value: Option<T>,
}

/// An entry that is due. In the order in which such entries come out: by time, then as they were set.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DueEntry {
    at: i64,
    sequence: u64,
    index: u32,
}

/// Timers by the moment, in microseconds, at which they fall due.
#[derive(Debug)]
pub struct Wheel<T> {
    tick: i64,
    /// Ticks passed: every entry before this one has come out.
    now: i64,
    /// The first entry of each slot, level by level.
    heads: Vec<u32>,
    /// A bit for each slot of a level that has an entry.
    occupied: [u64; LEVELS],
    entries: Vec<Entry<T>>,
    /// The first free entry.
    free: u32,
    len: usize,
    next_sequence: u64,
    /// Kept between two calls, so that expiring allocates nothing.
    due: Vec<DueEntry>,
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
            next_sequence: 0,
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

    /// A free entry.
    fn allocate(&mut self) -> u32 {
        if self.free != NONE {
            let index = self.free;
            self.free = self.entries[index as usize].next;
            return index;
        }
        assert!(
            self.entries.len() < NONE as usize,
            "more timers than a handle can name"
        );
        self.entries.push(Entry {
            at: 0,
            sequence: 0,
            generation: 0,
            slot: NONE,
            next: NONE,
            previous: NONE,
            value: None,
        });
        self.entries.len() as u32 - 1
    }

    /// What was set, unless it has come out or was cleared.
    pub fn get_mut(&mut self, handle: Handle) -> Option<&mut T> {
        let entry = self.entries.get_mut(handle.index as usize)?;
        let current = entry.generation == handle.generation;
        entry.value.as_mut().filter(|_| current)
    }

    /// Clears a timer; gives its value if it had not come out yet.
    pub fn clear(&mut self, handle: Handle) -> Option<T> {
        let entry = self.entries.get(handle.index as usize)?;
        if entry.generation != handle.generation || entry.value.is_none() {
            return None;
        }
        self.unlink(handle.index);
        self.release(handle.index)
    }

    /// A moment before which nothing falls due; none: nothing is set. Exact within the lowest level, else the
    /// moment at which a higher level is placed again.
    pub fn next_due(&self) -> Option<i64> {
        if self.len == 0 {
            return None;
        }
        let mut earliest: Option<i64> = None;
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
            earliest = Some(earliest.map_or(tick, |earliest| earliest.min(tick)));
        }
        earliest.map(|tick| tick.saturating_mul(self.tick))
    }

    /// Takes out all that is due at `now`, in order of due time and then of setting.
    pub fn expire(&mut self, now: i64, mut on_due: impl FnMut(T)) {
        let to = now.div_euclid(self.tick);
        debug_assert!(self.due.is_empty());
        while self.now <= to {
            // A whole turn without entries in the lower levels is skipped at once.
            let Some(next) = self
                .next_due()
                .map(|at| at.div_euclid(self.tick))
                .filter(|tick| *tick <= to)
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
        for entry in due.drain(..) {
            if let Some(value) = self.release(entry.index) {
                on_due(value);
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
            let entry = &mut self.entries[index as usize];
            entry.slot = NONE;
            self.due.push(DueEntry {
                at: entry.at,
                sequence: entry.sequence,
                index,
            });
            index = entry.next;
        }
    }

    /// Puts an entry into the list of the slot that its time belongs to.
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
            self.entries[head as usize].previous = index;
        }
        let entry = &mut self.entries[index as usize];
        entry.slot = slot as u32;
        entry.next = head;
        entry.previous = NONE;
        self.heads[slot] = index;
        self.occupied[level] |= 1 << (slot % SLOTS);
    }

    /// Takes an entry out of the list of its slot, if it is in one.
    fn unlink(&mut self, index: u32) {
        let entry = &self.entries[index as usize];
        let slot = entry.slot;
        let next = entry.next;
        let previous = entry.previous;
        if slot == NONE {
            return;
        }
        if previous == NONE {
            self.heads[slot as usize] = next;
            if next == NONE {
                self.occupied[slot as usize / SLOTS] &= !(1 << (slot as usize % SLOTS));
            }
        } else {
            self.entries[previous as usize].next = next;
        }
        if next != NONE {
            self.entries[next as usize].previous = previous;
        }
    }

    /// Frees an entry that is in no list; gives its value.
    fn release(&mut self, index: u32) -> Option<T> {
        let entry = &mut self.entries[index as usize];
        let value = entry.value.take()?;
        entry.generation = entry.generation.wrapping_add(1);
        entry.slot = NONE;
        entry.previous = NONE;
        entry.next = self.free;
        self.free = index;
        self.len -= 1;
        Some(value)
    }
}
