//! Orders and probes, and workers whose orders leave nothing.

use super::*;

impl Dispatcher {
    pub(super) fn order(
        &mut self,
        kind: OrderKind,
        worker: WorkerId,
        function: FunctionId,
        n: u32,
        out: &mut Vec<Command>,
    ) {
        let ready = self.may_use(worker).is_ok();
        let settings = &self.config.settings;
        let (limit, connect) = (settings.order_timeout, settings.connect_timeout);
        let names = self.name(worker).zip(match kind {
            OrderKind::Probe => Some(String::new()),
            _ => self.functions.name(function.0).map(str::to_string),
        });
        let Some((worker_name, name)) = names.filter(|_| ready) else {
            // Rule 3 for orders, and an order that nobody takes must end for the module.
            self.counters.guard_rejections += 1;
            debug_assert!(ready, "an order to {worker:?}, which takes none");
            if kind == OrderKind::Load {
                self.unsent.push((worker, function));
            }
            return;
        };
        self.used(function);
        let order = ControlRequestId(self.next_order);
        self.next_order += 1;
        let span = if kind == OrderKind::Probe {
            PROBE_TIMEOUTS * connect
        } else {
            limit
        };
        let timer = Some(self.timers.set(self.now.plus(span).0, Due::Order(order)));
        let o = Order {
            kind,
            worker,
            function,
            sent: self.now,
            instances: n,
            withdrawn: false,
            timer,
        };
        self.order_list.insert(order, o);
        out.push(match kind {
            OrderKind::Probe => {
                self.counters.probes += 1;
                Command::Probe {
                    request: order,
                    worker: worker_name,
                }
            }
            OrderKind::Load => {
                if n > 0 {
                    self.counters.loads += 1;
                    self.believed.entry(function).or_default().loading += 1;
                } else {
                    self.counters.instance_queries += 1;
                }
                Command::Load {
                    request: order,
                    worker: worker_name,
                    function: name,
                    instances: n,
                }
            }
            OrderKind::Unload => {
                self.counters.unloads += 1;
                Command::Unload {
                    request: order,
                    worker: worker_name,
                    function: name,
                }
            }
        });
    }

    pub(super) fn on_order(
        &mut self,
        order: ControlRequestId,
        seen: AttemptOutcome,
        told: Trailers,
        out: &mut Vec<Command>,
    ) {
        let Some(o) = self.order_list.remove(&order) else {
            return;
        };
        if let Some(timer) = o.timer {
            self.timers.clear(timer);
        }
        // The answer to an order or a probe is its status; it need not carry pieces.
        let outcome = match seen {
            AttemptOutcome::Status { code: 0, .. } => Outcome::Served,
            _ if o.withdrawn => Outcome::TimedOut,
            _ => classify(seen, &told).outcome,
        };
        let latency = self.now.since(o.sent);
        self.used(o.function);
        match o.kind {
            OrderKind::Probe => {
                let report = told.report.map(LoadReport::into);
                self.tell(
                    Event::ProbeDone {
                        worker: o.worker,
                        outcome,
                        latency,
                        report,
                    },
                    out,
                );
            }
            OrderKind::Load => {
                let instances = told
                    .instances
                    .filter(|_| outcome == Outcome::Served)
                    .unwrap_or(0);
                let b = self.believed.entry(o.function).or_default();
                if o.instances > 0 {
                    b.loading = b.loading.saturating_sub(1);
                }
                if instances > 0 {
                    b.warm_at = Some(self.now);
                }
                let (worker, function) = (o.worker, o.function);
                if instances > 0 {
                    self.lacking.on_successful_load(worker);
                } else if o.instances > 0 || outcome != Outcome::Served {
                    self.in_vain(worker, function, seen, out);
                }
                self.tell(
                    Event::OrderDone {
                        worker,
                        function,
                        outcome,
                        latency,
                        instances,
                    },
                    out,
                );
            }
            OrderKind::Unload => {}
        }
    }

    pub(super) fn in_vain(
        &mut self,
        worker: WorkerId,
        function: FunctionId,
        seen: AttemptOutcome,
        out: &mut Vec<Command>,
    ) {
        self.counters.loads_without_effect += 1;
        let told = self
            .lacking
            .on_failed_load(self.now, worker, function, seen);
        if let (Some(lack), Some((worker, function))) = (told, self.names_of(worker, function)) {
            out.push(Command::ReportMissingFunction {
                worker,
                function,
                outcome: seen,
                failed_loads: lack.failed_loads,
            });
        }
    }

    pub(super) fn names_of(
        &self,
        worker: WorkerId,
        function: FunctionId,
    ) -> Option<(String, String)> {
        self.name(worker)
            .zip(self.functions.name(function.0).map(str::to_string))
    }

    /// Workers whose last order was in vain: their names, the function's, and what came of it.
    pub fn missing_functions(&self) -> impl Iterator<Item = (String, String, &MissingFunction)> {
        self.lacking
            .iter()
            .filter_map(|(w, l)| self.names_of(w, l.function).map(|(w, f)| (w, f, l)))
    }
}
