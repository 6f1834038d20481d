//! Stand-in workers on a separate thread.

use crate::worker_list::ListedWorker;
use calloop::EventLoop;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc;
use std::time::Duration;
use tansy_net_sockets::socket::listen;
use tansy_net_sockets::Spawner;
use tansy_standin_worker::{Function, MissPolicy, Profile, Standin};

type Job = Box<dyn FnOnce(&[Rc<Standin>]) + Send>;

/// Stand-in workers on a separate thread, which ends when this value is dropped.
pub struct Workers {
    /// The addresses of the workers.
    pub addresses: Vec<SocketAddr>,
    jobs: mpsc::Sender<Job>,
}

impl Workers {
    /// Starts `count` workers with the functions of [`crate::SETTINGS`].
    pub fn start(count: usize) -> Workers {
        Workers::with_functions(count, &["echo", "keyed", "post"])
    }

    /// Starts `count` workers with these functions.
    pub fn with_functions(count: usize, functions: &[&str]) -> Workers {
        let functions: Vec<String> = functions.iter().map(|name| name.to_string()).collect();
        let (jobs, queue) = mpsc::channel::<Job>();
        let (started, addresses) = mpsc::channel();
        std::thread::spawn(move || {
            let mut event_loop: EventLoop<'static, ()> = EventLoop::try_new().expect("a loop");
            let spawner = Spawner::new(event_loop.handle()).expect("an executor");
            let start = |index: usize| {
                let listener = listen(([127, 0, 0, 1], 0).into(), false).expect("a port");
                Standin::start(spawner.clone(), listener, profile(index, &functions), true)
                    .expect("a worker")
            };
            let workers: Vec<Rc<Standin>> = (0..count).map(start).collect();
            started
                .send(workers.iter().map(|worker| worker.address()).collect())
                .expect("the test waits for the addresses");
            loop {
                event_loop
                    .dispatch(Some(Duration::from_millis(2)), &mut ())
                    .expect("the loop dispatches events");
                loop {
                    match queue.try_recv() {
                        Ok(job) => job(&workers),
                        Err(mpsc::TryRecvError::Empty) => break,
                        Err(mpsc::TryRecvError::Disconnected) => return,
                    }
                }
            }
        });
        Workers {
            addresses: addresses.recv().expect("the workers start"),
            jobs,
        }
    }

    /// The entries of all workers for a worker list: `w0`, `w1` and so on, all ready.
    pub fn listed(&self) -> Vec<ListedWorker> {
        let addresses = self.addresses.iter().enumerate();
        addresses
            .map(|(index, address)| ListedWorker::ready(&format!("w{index}"), *address))
            .collect()
    }

    /// Runs a job with the workers on their thread, and returns its result.
    pub fn with<T: Send + 'static>(
        &self,
        job: impl FnOnce(&[Rc<Standin>]) -> T + Send + 'static,
    ) -> T {
        let (done, result) = mpsc::channel();
        let job: Job = Box::new(move |workers| drop(done.send(job(workers))));
        self.jobs.send(job).expect("the workers run");
        result.recv().expect("the workers run")
    }

    /// Sets a fault at all workers.
    pub fn fault(&self, fault: &'static str) {
        self.with(move |workers| {
            for worker in workers {
                worker.faults.set(fault).expect("a known fault");
            }
        });
    }

    /// For each worker, the number of calls that started to run.
    pub fn ran(&self) -> Vec<u64> {
        self.with(|workers| {
            workers
                .iter()
                .map(|worker| worker.calls_run.get())
                .collect()
        })
    }
}

fn profile(index: usize, functions: &[String]) -> Profile {
    let function = |name: &String| Function {
        name: name.clone(),
        memory_mb: 100.0,
        lanes: 64,
        load_time: 5_000,
        default_work: 1_000,
    };
    Profile {
        name: format!("w{index}"),
        functions: functions.iter().map(function).collect(),
        memory_mb: 10_000.0,
        idle_timeout: 10_000_000,
        max_concurrent_loads: 4,
        max_waiting_calls: 10_000,
        miss_policy: MissPolicy::Load,
        cores: 64.0,
        slow_start_from: 1.0,
        slow_start_window: 1,
        overload_multiple: f64::MAX,
        overload_window: 1_000_000,
    }
}
