//! Worker starts, losses of workers and restarts of front ends.

use super::{FrontEnd, SimulatedEvent, Simulation};
use crate::workers::Worker;

impl Simulation {
    pub(super) fn on_workers_start(&mut self) {
        let (now, scenario) = (self.now, self.scenario);
        let first = scenario.workers as u64;
        // Workers of both kinds alternate, starting with the second kind.
        let replaced = |number: u64| (first / 2 * (number % 2 + 1) + number / 2) % first;
        for id in (0..scenario.starting_workers as u64).map(replaced) {
            self.workers.entry(id).or_default().gone = true;
            let starting = Worker {
                started: Some(now),
                ..Worker::default()
            };
            self.workers.insert(first + id, starting);
        }
        for index in 0..scenario.front_ends {
            let after = if scenario.max_list_delay > 0 {
                self.rng.i64(0..scenario.max_list_delay)
            } else {
                0
            };
            let router_event = SimulatedEvent::RouterEvent {
                front_end: self.front_end_id(index),
                event: self.full_list(),
            };
            self.schedule(now.plus(after), router_event);
        }
        if let Some(after) = scenario.others_lost_after {
            self.schedule(now.plus(after), SimulatedEvent::OthersLost);
        }
        let restarted = scenario.front_ends * scenario.restarted_percent / 100;
        for number in 0..restarted {
            let at = now.plus(scenario.slow_start_window / 2 * number as i64 / restarted as i64);
            let index = number * scenario.front_ends / restarted;
            self.schedule(at, SimulatedEvent::Restart(index));
        }
    }

    pub(super) fn on_others_lost(&mut self) {
        let workers = self.workers.values_mut();
        let others = workers.filter(|worker| worker.started.is_none());
        others.for_each(|worker| worker.gone = true);
        for index in 0..self.scenario.front_ends {
            self.handle(index, self.full_list());
        }
    }

    pub(super) fn on_restart(&mut self, index: usize) {
        let router = self.new_router(index, true);
        self.front_ends[index] = FrontEnd {
            router,
            incarnation: self.front_ends[index].incarnation + 1,
            timer: None,
        };
        self.handle(index, self.full_list());
    }
}
