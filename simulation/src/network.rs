//! The simulated network between processes, with message loss, duplication, delays, link faults and partitions.

use crate::fault::{Fault, Time, SECOND};

/// Transit times and loss in the absence of faults.
#[derive(Clone, Copy, Debug)]
pub struct NetworkProfile {
    /// Minimum transit time.
    pub min_transit: Time,
    /// Maximum transit time.
    pub max_transit: Time,
    /// Fraction of messages that are lost.
    pub loss: f64,
    /// Fraction of messages that are delivered twice.
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

/// A partition that isolates each of the last `regions` regions from all others, from `start` to `end`.
#[derive(Clone, Copy, Debug)]
struct RegionPartition {
    regions: usize,
    start: Time,
    end: Time,
}

/// Decides whether and when messages are delivered.
#[derive(Clone, Debug)]
pub struct Network {
    profile: NetworkProfile,
    faults: Vec<Fault>,
    /// Additional transit time by pair of regions; empty with a single region. Front ends are assigned to regions
    /// round-robin.
    inter_region_transit: Vec<Vec<Time>>,
    partition: Option<RegionPartition>,
}

/// Minimum and maximum transit time between two regions.
const INTER_REGION_TRANSIT: (Time, Time) = (SECOND / 25, SECOND * 2 / 25);

impl Network {
    /// A network of one region, subject to the network faults among `faults`.
    pub fn new(profile: NetworkProfile, faults: &[Fault]) -> Network {
        let is_network_fault =
            |fault: &&Fault| !matches!(fault, Fault::Kill { .. } | Fault::Pause { .. });
        Network {
            profile,
            faults: faults.iter().filter(is_network_fault).cloned().collect(),
            inter_region_transit: Vec::new(),
            partition: None,
        }
    }

    /// Distributes the front ends over `regions` regions and draws the transit time of each pair of regions.
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

    /// Isolates each of the last `regions` regions from all others between `start` and `end`.
    pub fn partition_regions(&mut self, regions: usize, start: Time, end: Time) {
        self.partition = Some(RegionPartition {
            regions: regions.min(self.inter_region_transit.len().saturating_sub(1)),
            start,
            end,
        });
    }

    /// The number of regions.
    pub fn regions(&self) -> usize {
        self.inter_region_transit.len().max(1)
    }

    /// The region of a front end.
    pub fn region(&self, process: usize) -> usize {
        process % self.regions()
    }

    /// Whether a partition of regions is active at `now`.
    pub fn is_partitioned(&self, now: Time) -> bool {
        self.partition
            .is_some_and(|p| p.regions > 0 && p.start <= now && now < p.end)
    }

    /// The side of the partition that a front end is on: 0 for the regions that stay connected, otherwise one side for each
    /// isolated region.
    pub fn side(&self, process: usize) -> usize {
        let main_regions = self.regions() - self.partitioned_regions();
        (self.region(process) + 1).saturating_sub(main_regions)
    }

    /// The number of sides of the partition.
    pub fn sides(&self) -> usize {
        1 + self.partitioned_regions()
    }

    fn partitioned_regions(&self) -> usize {
        self.partition.map_or(0, |partition| partition.regions)
    }

    /// The arrival time of each delivered copy of a message sent at `now`; empty if the message is lost.
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
        // Each copy draws its own delay, so that messages can be reordered.
        (0..copies)
            .map(|_| now + delay + rng.i64(self.profile.min_transit..=self.profile.max_transit))
            .collect()
    }

    /// The delay that the active faults add to the transit time; `None` if they block the message.
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
