//! The processes of a day, and the relay between them.

use calloop::EventLoop;
use rustix::process::{kill_process, Pid, Signal};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Stdio};
use std::rc::Rc;
use std::sync::mpsc;
use std::time::{Duration, Instant};
use tansy_audit::record::Entry;
use tansy_audit::{Link, Mark};
use tansy_net_sockets::Spawner;
use tansy_standin_relay::FaultProxy;

/// How a day can't go on.
pub type Error = Box<dyn std::error::Error>;

/// A process that said where it serves.
pub struct Process {
    child: Child,
    out: BufReader<ChildStdout>,
    /// Its addresses, by the names on its `ready` line.
    line: String,
}

impl Process {
    /// Starts this program under another name, and waits for its `ready` line.
    pub fn start(arguments: &[String]) -> Result<Process, Error> {
        Process::logged(arguments, None)
    }
    /// The same; its logs are added to a file.
    pub fn logged(arguments: &[String], logs: Option<&Path>) -> Result<Process, Error> {
        let mut command = Command::new(std::env::current_exe()?);
        if let Some(path) = logs {
            command.stderr(
                std::fs::OpenOptions::new()
                    .append(true)
                    .create(true)
                    .open(path)?,
            );
        }
        let mut child = command.args(arguments).stdout(Stdio::piped()).spawn()?;
        let mut out = BufReader::new(child.stdout.take().ok_or("no output")?);
        let mut line = String::new();
        out.read_line(&mut line)?;
        if !line.starts_with("ready ") {
            return Err(format!("{arguments:?} did not start: {line:?}").into());
        }
        Ok(Process { child, out, line })
    }
    /// An address of its `ready` line.
    pub fn address(&self, name: &str) -> Result<SocketAddr, Error> {
        let word = self
            .line
            .split_whitespace()
            .find_map(|w| w.strip_prefix(name)?.strip_prefix('='));
        Ok(word
            .ok_or(format!("no {name} in {:?}", self.line))?
            .parse()?)
    }
    /// Kills it at once, and waits until it has ended.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
    /// Sends it a signal.
    pub fn signal(&self, signal: Signal) -> Result<(), Error> {
        Ok(kill_process(Pid::from_child(&self.child), signal)?)
    }
    /// Asks it to end; gives the rest of its output.
    pub fn stop(&mut self) -> Result<String, Error> {
        kill_process(Pid::from_child(&self.child), Signal::TERM)?;
        let mut rest = String::new();
        self.out.read_to_string(&mut rest)?;
        self.child.wait()?;
        Ok(rest)
    }
    /// A path of a worker's control port.
    pub fn control(&self, path: &str) -> Result<(), Error> {
        let mut s = TcpStream::connect(self.address("control")?)?;
        write!(s, "GET {path} HTTP/1.1\r\nConnection: close\r\n\r\n")?;
        let mut answer = String::new();
        s.read_to_string(&mut answer)?;
        if !answer.starts_with("HTTP/1.1 200") {
            return Err(format!("{} on {path}: {answer}", self.line.trim()).into());
        }
        Ok(())
    }
    /// Whether it has ended by itself.
    pub fn ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

type Job = Box<dyn FnOnce(&Rc<FaultProxy>) + Send>;

/// The relay on a thread of its own.
pub struct Middle(mpsc::Sender<Job>);

impl Middle {
    /// A relay without routes.
    pub fn start() -> Middle {
        let (jobs, queue) = mpsc::channel::<Job>();
        std::thread::spawn(move || {
            let Ok(mut event_loop) = EventLoop::<'static, ()>::try_new() else {
                return;
            };
            let Ok(spawner) = Spawner::new(event_loop.handle()) else {
                return;
            };
            let relay = FaultProxy::new(spawner);
            while event_loop
                .dispatch(Some(Duration::from_millis(1)), &mut ())
                .is_ok()
            {
                loop {
                    match queue.try_recv() {
                        Ok(job) => job(&relay),
                        Err(mpsc::TryRecvError::Empty) => break,
                        Err(mpsc::TryRecvError::Disconnected) => return,
                    }
                }
            }
        });
        Middle(jobs)
    }
    /// Does something with the relay on its thread.
    pub fn with<T: Send + 'static>(
        &self,
        job: impl FnOnce(&Rc<FaultProxy>) -> T + Send + 'static,
    ) -> Result<T, Error> {
        let (told, result) = mpsc::channel();
        self.0
            .send(Box::new(move |r| drop(told.send(job(r)))))
            .map_err(|_| "the relay has ended")?;
        Ok(result.recv()?)
    }
}

/// What a front end's list says of a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Listed {
    /// It drains.
    pub draining: bool,
    /// When it started, if lately.
    pub started: Option<Instant>,
}

/// The cast of a day.
pub struct Cast {
    /// The relay.
    pub middle: Middle,
    /// The workers.
    pub workers: Vec<Process>,
    /// The gateways; none while one is dead.
    pub gateways: Vec<Option<Process>>,
    /// Where clients reach each gateway, through the relay.
    pub fronts: Vec<SocketAddr>,
    gateway_ports: Vec<(SocketAddr, SocketAddr)>,
    routes: Vec<Vec<SocketAddr>>,
    lists: Vec<Vec<Listed>>,
    folder: PathBuf,
    accounts: Vec<String>,
}

impl Cast {
    /// Starts workers and gateways, with the relay between all of them.
    pub fn start(
        settings: &str,
        workers: usize,
        gateways: usize,
        cores: f64,
    ) -> Result<Cast, Error> {
        let folder = std::env::temp_dir().join(format!("tansy-day-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let file = folder.join("day.cue");
        std::fs::write(&file, settings)?;
        let text = |p: &Path| p.display().to_string();
        let middle = Middle::start();
        let mut cast = Cast {
            middle,
            workers: Vec::new(),
            gateways: Vec::new(),
            fronts: Vec::new(),
            gateway_ports: Vec::new(),
            routes: vec![Vec::new(); gateways],
            lists: vec![
                vec![
                    Listed {
                        draining: false,
                        started: None
                    };
                    workers
                ];
                gateways
            ],
            folder,
            accounts: Vec::new(),
        };
        for n in 0..workers {
            let a = [
                "worker",
                "--settings",
                &text(&file),
                "--name",
                &format!("w{n}"),
                "--cores",
                &cores.to_string(),
            ];
            let w = Process::start(&a.map(str::to_string))?;
            let target = w.address("grpc")?;
            for front in 0..gateways {
                let link = Link::Worker { front, worker: n };
                let at = cast.middle.with(move |r| r.route(link, target))??;
                cast.routes[front].push(at);
            }
            cast.workers.push(w);
        }
        for front in 0..gateways {
            cast.write_list(front)?;
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            let g = cast.gateway(front, any, any)?;
            let (grpc, http) = (g.address("grpc")?, g.address("http")?);
            cast.gateway_ports.push((grpc, http));
            cast.gateways.push(Some(g));
            cast.fronts.push(
                cast.middle
                    .with(move |r| r.route(Link::Client { front }, grpc))??,
            );
        }
        Ok(cast)
    }

    fn gateway(&self, front: usize, grpc: SocketAddr, http: SocketAddr) -> Result<Process, Error> {
        let text = |p: PathBuf| p.display().to_string();
        let a = [
            "gateway".to_string(),
            "--settings".into(),
            text(self.folder.join("day.cue")),
            "--workers".into(),
            text(self.folder.join(format!("list-{front}.cue"))),
            "--me".into(),
            front.to_string(),
            "--listen".into(),
            grpc.to_string(),
            "--http".into(),
            http.to_string(),
            "--log".into(),
            "warn".into(),
        ];
        Process::start(&a)
    }

    fn write_list(&self, front: usize) -> Result<(), Error> {
        let mut lines = Vec::new();
        for (n, l) in self.lists[front].iter().enumerate() {
            // The first half stands in room-a.
            let zone = if n < self.lists[front].len() / 2 {
                "room-a"
            } else {
                "room-b"
            };
            let state = if l.draining { "draining" } else { "ready" };
            let started = l.started.map_or(String::new(), |s| {
                format!(", started: {}us", s.elapsed().as_micros())
            });
            let at = self.routes[front][n];
            lines.push(format!(
                "    {{name: \"w{n}\", address: \"{at}\", zone: \"{zone}\", state: \"{state}\"{started}}}"
            ));
        }
        let text = format!(
            "workers: [\n{}\n] // {}\n",
            lines.join("\n"),
            self.lists[front].len()
        );
        let (file, fresh) = (
            self.folder.join(format!("list-{front}.cue")),
            self.folder.join(format!("new-{front}")),
        );
        std::fs::File::create(&fresh)?.write_all(text.as_bytes())?;
        std::fs::rename(fresh, file)?;
        Ok(())
    }

    /// Tells one front end's list of a worker.
    pub fn list(&mut self, front: usize, worker: usize, draining: bool) -> Result<(), Error> {
        self.lists[front][worker].draining = draining;
        let mark = if draining {
            Mark::Leaves { front, worker }
        } else {
            Mark::Returns { front, worker }
        };
        crate::told(
            &[mark],
            |m| self.middle.with(move |r| r.mark(m)),
            || self.write_list(front),
        )
    }

    /// Restarts a worker in cold state, and tells all lists.
    pub fn restart(&mut self, worker: usize) -> Result<(), Error> {
        self.control(worker, "/restart")?;
        self.middle
            .with(move |r| r.mark(Mark::Started { worker }))?;
        for front in 0..self.lists.len() {
            self.lists[front][worker].started = Some(Instant::now());
            self.write_list(front)?;
        }
        Ok(())
    }

    /// A path of a worker's control port.
    pub fn control(&self, worker: usize, path: &str) -> Result<(), Error> {
        self.workers[worker].control(path)
    }

    /// Kills a gateway.
    pub fn kill(&mut self, front: usize) -> Result<(), Error> {
        if let Some(mut g) = self.gateways[front].take() {
            g.kill();
        }
        self.middle.with(move |r| r.mark(Mark::Killed { front }))
    }

    /// Starts it again on its ports.
    pub fn revive(&mut self, front: usize) -> Result<(), Error> {
        let (grpc, http) = self.gateway_ports[front];
        self.gateways[front] = Some(self.gateway(front, grpc, http)?);
        Ok(())
    }

    /// Ends the gateways and gives the record and their accounts; workers that fell are marked.
    pub fn end(mut self) -> Result<(Vec<Entry>, Vec<String>), Error> {
        for g in self.gateways.iter_mut().flatten() {
            self.accounts.push(g.stop()?.trim().to_string());
        }
        for (worker, w) in self.workers.iter_mut().enumerate() {
            if w.ended() {
                self.middle.with(move |r| r.mark(Mark::Fell { worker }))?;
            }
        }
        let entries = self.middle.with(|r| r.take_entries())?;
        let _ = std::fs::remove_dir_all(&self.folder);
        Ok((entries, std::mem::take(&mut self.accounts)))
    }
}
