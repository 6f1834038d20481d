//! The network and the processes' state of health, as the faults of a run leave them.

use crate::fault::{Fault, Time, SECOND};

/// How messages travel when nothing is wrong.
#[derive(Clone, Copy, Debug)]
pub struct Ways {
    /// Least time.
    pub least: Time,
    /// Most time, nearly always.
    pub most: Time,
    /// Share that is lost.
    pub lost: f64,
    /// Share that comes twice.
    pub twice: f64,
}

impl Default for Ways {
    fn default() -> Ways {
        Ways { least: SECOND / 5000, most: SECOND / 50, lost: 0.01, twice: 0.01 }
    }
}

/// Where and when messages get through.
#[derive(Clone, Debug)]
pub struct Net {
    ways: Ways,
    faults: Vec<Fault>,
}

impl Net {
    /// With these faults.
    pub fn new(ways: Ways, faults: &[Fault]) -> Net {
        let of_net = |f: &&Fault| !matches!(f, Fault::Kill { .. } | Fault::Pause { .. });
        Net { ways, faults: faults.iter().filter(of_net).cloned().collect() }
    }

    /// When the copies of a message that is sent now arrive, as far as they do.
    pub fn carry(&self, rng: &mut fastrand::Rng, now: Time, from: usize, to: usize) -> Vec<Time> {
        let mut added = 0;
        for f in self.faults.iter().filter(|f| f.at() <= now && now < f.over()) {
            match f {
                Fault::Cut { from: a, to: b, .. } if (*a, *b) == (from, to) => return Vec::new(),
                Fault::Split { side, .. } if side.contains(&from) != side.contains(&to) => return Vec::new(),
                Fault::Slow { by, .. } => added += rng.i64(0..=*by),
                _ => {}
            }
        }
        if rng.f64() < self.ways.lost {
            return Vec::new();
        }
        let copies = 1 + usize::from(rng.f64() < self.ways.twice);
        // Each copy takes its own time, so that messages overtake each other.
        (0..copies).map(|_| now + added + rng.i64(self.ways.least..=self.ways.most)).collect()
    }
}
