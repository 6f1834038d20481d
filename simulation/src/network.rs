//! The network between processes, as the faults of a run leave it.

use crate::fault::{Fault, Time, SECOND};

/// How messages travel when nothing is wrong.
#[derive(Clone, Copy, Debug)]
pub struct NetworkProfile {
    /// Shortest transit time.
    pub min_transit: Time,
    /// Longest transit time.
    pub max_transit: Time,
    /// Share that is lost.
    pub loss: f64,
    /// Share that arrives twice.
    pub duplication: f64,
}

impl Default for NetworkProfile {
    fn default() -> NetworkProfile {
        NetworkProfile {
            min_transit: SECOND / 5000,
            max_transit: SECOND / 50,
            loss: 0.01,
            duplication: 0.01,
        }
    }
}

/// Regions that are partitioned from all others between two times: so many, the last ones.
#[derive(Clone, Copy, Debug)]
struct RegionPartition {
    regions: usize,
    start: Time,
    end: Time,
}

/// Where and when messages get through.
#[derive(Clone, Debug)]
pub struct Network {
    profile: NetworkProfile,
    faults: Vec<Fault>,
    /// Transit time between two regions, if there are any; front ends are placed in them in turn.
    inter_region_transit: Vec<Vec<Time>>,
    partition: Option<RegionPartition>,
}

/// Shortest and max_transit transit time between two regions.
const INTER_REGION_TRANSIT: (Time, Time) = (SECOND / 25, SECOND * 2 / 25);

impl Network {
    /// A network of one region, with those of the faults that concern it.
    pub fn new(profile: NetworkProfile, faults: &[Fault]) -> Network {
        let of_network =
            |fault: &&Fault| !matches!(fault, Fault::Kill { .. } | Fault::Pause { .. });
        Network {
            profile,
            faults: faults.iter().filter(of_network).cloned().collect(),
            inter_region_transit: Vec::new(),
            partition: None,
        }
    }

    /// Places the front ends in so many regions, and draws the transit time between each two of them.
    pub fn place_in_regions(&mut self, regions: usize, rng: &mut fastrand::Rng) {
        let regions = regions.max(1);
        self.inter_region_transit = vec![vec![0; regions]; regions];
        for first in 0..regions {
            for second in 0..first {
                let transit = rng.i64(INTER_REGION_TRANSIT.0..=INTER_REGION_TRANSIT.1);
                self.inter_region_transit[first][second] = transit;
                self.inter_region_transit[second][first] = transit;
            }
        }
    }

    /// Partitions the last regions, each from all others, in this time.
    pub fn partition_regions(&mut self, regions: usize, start: Time, end: Time) {
        self.partition = Some(RegionPartition {
            regions: regions.min(self.inter_region_transit.len().saturating_sub(1)),
            start,
            end,
        });
    }

    /// How many regions there are.
    pub fn regions(&self) -> usize {
        self.inter_region_transit.len().max(1)
    }

    /// The region of a front end.
    pub fn region(&self, process: usize) -> usize {
        process % self.regions()
    }

    /// Whether regions are partitioned at this time.
    pub fn is_partitioned(&self, now: Time) -> bool {
        self.partition
            .is_some_and(|p| p.regions > 0 && p.start <= now && now < p.end)
    }

    /// The side of a partition on which a front end is: 0 with most regions, else one for each region partitioned off.
    pub fn side(&self, process: usize) -> usize {
        let main_regions = self.regions() - self.partitioned_regions();
        (self.region(process) + 1).saturating_sub(main_regions)
    }

    /// How many sides there are.
    pub fn sides(&self) -> usize {
        1 + self.partitioned_regions()
    }

    fn partitioned_regions(&self) -> usize {
        self.partition.map_or(0, |partition| partition.regions)
    }

    /// When the copies of a message that is sent now arrive, as far as they do.
    pub fn delivery_times(
        &self,
        rng: &mut fastrand::Rng,
        now: Time,
        sender: usize,
        receiver: usize,
    ) -> Vec<Time> {
        let Some(delay) = self.fault_delay(rng, now, sender, receiver) else {
            return Vec::new();
        };
        if self.is_partitioned(now) && self.side(sender) != self.side(receiver) {
            return Vec::new();
        }
        let transit = self
            .inter_region_transit
            .get(self.region(sender))
            .and_then(|others| others.get(self.region(receiver)));
        let delay = delay + transit.copied().unwrap_or(0);
        if rng.f64() < self.profile.loss {
            return Vec::new();
        }
        let copies = 1 + usize::from(rng.f64() < self.profile.duplication);
        // Each copy takes its own time, so that messages overtake each other.
        (0..copies)
            .map(|_| now + delay + rng.i64(self.profile.min_transit..=self.profile.max_transit))
            .collect()
    }

    /// What the faults of this moment add to the transit time; none: they let nothing through.
    fn fault_delay(
        &self,
        rng: &mut fastrand::Rng,
        now: Time,
        sender: usize,
        receiver: usize,
    ) -> Option<Time> {
        let mut delay = 0;
        for fault in self.faults.iter().filter(|fault| fault.is_active(now)) {
            match fault {
                Fault::LinkCut {
                    sender: cut_sender,
                    receiver: cut_receiver,
                    ..
                } if (*cut_sender, *cut_receiver) == (sender, receiver) => return None,
                Fault::Partition { side, .. }
                    if side.contains(&sender) != side.contains(&receiver) =>
                {
                    return None
                }
                Fault::Delay { max_delay, .. } => delay += rng.i64(0..=*max_delay),
                _ => {}
            }
        }
        Some(delay)
    }
}
