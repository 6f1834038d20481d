//! The measured window, in which settings are changed and front ends are killed and restarted at even intervals.

use super::field_change::FieldKind;
use super::Measurement;
use crate::Error;
use std::iter::Peekable;
use std::time::{Duration, Instant};

/// Minimum time in seconds from a kill to the restart; the maximum is twice as long.
const MIN_RESTART_DELAY_SECONDS: f64 = 2.0;
/// Time between two checks for due events.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A killed front end that is to be restarted.
pub(super) struct Restart {
    due: Instant,
    pub(super) front_end: u32,
}

impl Measurement {
    /// Runs the measured window.
    pub(super) fn run_window(&mut self) -> Result<(), Error> {
        let began = Instant::now();
        let seconds = self.arguments.seconds as f64;
        let mut changes = evenly_spaced(self.arguments.changes_hour, seconds);
        let mut kills = evenly_spaced(self.arguments.away_hour, seconds);
        let kinds = FieldKind::shuffled(&mut self.rng);
        loop {
            let now = began.elapsed().as_secs_f64();
            if now >= seconds {
                return Ok(());
            }
            if kills.next_if(|due| *due <= now).is_some() {
                self.kill_temporarily()?;
            }
            self.restart_next_due()?;
            self.check_change();
            // Changes do not overlap: a due one waits for the one in progress.
            if self.pending.is_none() && changes.next_if(|due| *due <= now).is_some() {
                self.propose(kinds[self.changes % kinds.len()])?;
            }
            let remaining = Duration::from_secs_f64(seconds - now);
            self.fleet.poll_events(remaining.min(CHECK_INTERVAL))?;
        }
    }

    /// Kills a random front end that is not a voter and schedules its restart. Hollow ones are preferred, since a restart resets the
    /// counters of a real one, which is then not measured.
    fn kill_temporarily(&mut self) -> Result<(), Error> {
        let shape = self.fleet.shape;
        let mut candidates = self.fleet.joined_non_voters();
        if candidates
            .iter()
            .any(|front_end| !shape.is_real(*front_end))
        {
            candidates.retain(|front_end| !shape.is_real(*front_end));
        }
        if candidates.is_empty() {
            return Ok(());
        }
        let front_end = candidates[self.rng.usize(0..candidates.len())];
        self.fleet.kill(front_end)?;
        let delay = Duration::from_secs_f64(MIN_RESTART_DELAY_SECONDS * (1.0 + self.rng.f64()));
        self.restarts.push_back(Restart {
            due: Instant::now() + delay,
            front_end,
        });
        Ok(())
    }

    /// Restarts one killed front end that is due.
    fn restart_next_due(&mut self) -> Result<(), Error> {
        let now = Instant::now();
        let next = self.restarts.iter().position(|restart| restart.due <= now);
        match next.and_then(|position| self.restarts.remove(position)) {
            Some(restart) => self.fleet.start_front_end(restart.front_end),
            None => Ok(()),
        }
    }

    /// Restarts all killed front ends, and waits until all have joined and no change is in progress.
    pub(super) fn finish_window(&mut self) -> Result<(), Error> {
        while let Some(restart) = self.restarts.pop_front() {
            self.fleet.start_front_end(restart.front_end)?;
        }
        self.finish_change()?;
        let end = Instant::now() + super::JOIN_TIMEOUT;
        self.fleet.wait_until_all_joined(end)
    }
}

/// Returns the times, in seconds, of events at this hourly rate that are evenly spaced in a window of this length.
fn evenly_spaced(per_hour: u64, seconds: f64) -> Peekable<impl Iterator<Item = f64>> {
    let count = (per_hour as f64 * seconds / 3600.0).round() as usize;
    (0..count)
        .map(move |index| (index as f64 + 0.5) / count as f64 * seconds)
        .peekable()
}
