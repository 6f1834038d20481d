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
        Ways {
            least: SECOND / 5000,
            most: SECOND / 50,
            lost: 0.01,
            twice: 0.01,
        }
    }
}

/// Where and when messages get through.
#[derive(Clone, Debug)]
pub struct Net {
    ways: Ways,
    faults: Vec<Fault>,
    /// Time of the way between two regions, if there are any; front ends stand in them in turn.
    between: Vec<Vec<Time>>,
    /// So many of the regions, the last ones, hear of no other from then to then.
    cut: Option<(usize, Time, Time)>,
}

/// Between two regions: least and most time of the way.
const BETWEEN: (Time, Time) = (SECOND / 25, SECOND * 2 / 25);

impl Net {
    /// With these faults.
    pub fn new(ways: Ways, faults: &[Fault]) -> Net {
        let of_net = |f: &&Fault| !matches!(f, Fault::Kill { .. } | Fault::Pause { .. });
        Net {
            ways,
            faults: faults.iter().filter(of_net).cloned().collect(),
            between: Vec::new(),
            cut: None,
        }
    }

    /// Puts the front ends into so many regions, each two of them a way of its own apart.
    pub fn place(&mut self, regions: usize, rng: &mut fastrand::Rng) {
        let many = regions.max(1);
        self.between = vec![vec![0; many]; many];
        for a in 0..many {
            for b in 0..a {
                let way = rng.i64(BETWEEN.0..=BETWEEN.1);
                (self.between[a][b], self.between[b][a]) = (way, way);
            }
        }
    }

    /// The last regions hear of no other in this time.
    pub fn cut_off(&mut self, regions: usize, from: Time, to: Time) {
        self.cut = Some((regions.min(self.between.len().saturating_sub(1)), from, to));
    }

    /// How many regions there are.
    pub fn regions(&self) -> usize {
        self.between.len().max(1)
    }

    /// The region of a front end.
    pub fn region(&self, who: usize) -> usize {
        who % self.regions()
    }

    /// Whether regions are cut off at this time.
    pub fn cut_at(&self, now: Time) -> bool {
        self.cut
            .is_some_and(|(regions, from, to)| regions > 0 && from <= now && now < to)
    }

    /// The side of a cut on which a front end stands: 0 with most regions, else one for each region cut off.
    pub fn side(&self, who: usize) -> usize {
        let whole = self.between.len().max(1) - self.cut.map_or(0, |c| c.0);
        (self.region(who) + 1).saturating_sub(whole)
    }

    /// How many sides there are.
    pub fn sides(&self) -> usize {
        1 + self.cut.map_or(0, |c| c.0)
    }

    /// When the copies of a message that is sent now arrive, as far as they do.
    pub fn carry(&self, rng: &mut fastrand::Rng, now: Time, from: usize, to: usize) -> Vec<Time> {
        let mut added = 0;
        for f in self
            .faults
            .iter()
            .filter(|f| f.at() <= now && now < f.over())
        {
            match f {
                Fault::Cut { from: a, to: b, .. } if (*a, *b) == (from, to) => return Vec::new(),
                Fault::Split { side, .. } if side.contains(&from) != side.contains(&to) => {
                    return Vec::new()
                }
                Fault::Slow { by, .. } => added += rng.i64(0..=*by),
                _ => {}
            }
        }
        if self.cut_at(now) && self.side(from) != self.side(to) {
            return Vec::new();
        }
        if let Some(way) = self
            .between
            .get(self.region(from))
            .and_then(|b| b.get(self.region(to)))
        {
            added += way;
        }
        if rng.f64() < self.ways.lost {
            return Vec::new();
        }
        let copies = 1 + usize::from(rng.f64() < self.ways.twice);
        // Each copy takes its own time, so that messages overtake each other.
        (0..copies)
            .map(|_| now + added + rng.i64(self.ways.least..=self.ways.most))
            .collect()
    }
}
