//! Front ends as real processes: started, signalled, restarted under their addresses.

use crate::clients::{Door, Doors};
use crate::discovery::{Discovery, Feed};
use crate::facts::{Fact, Facts, Place, Signal};
use crate::shim;
use crate::site::Site;
use rustix::process::{kill_process, Pid};
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, ChildStdout, Command};
use tokio::time::{sleep, timeout};

/// A front end is ready by then.
pub const READY_WITHIN: Duration = Duration::from_secs(10);
/// New connections come for so long after SIGTERM, and requests for so long after that.
const CONNECTIONS_AFTER: Duration = Duration::from_millis(300);
const REQUESTS_AFTER: Duration = Duration::from_millis(200);
/// SIGKILL comes so long after SIGTERM: the longest deadline, taken as 3 s, and 0.7 s.
const KILL_AFTER: Duration = Duration::from_millis(3700);

/// What every front end is started with.
pub struct Launch {
    /// The program.
    pub gateway: PathBuf,
    /// Where configurations and logs go.
    pub folder: PathBuf,
    /// How a connection to a worker is bounded, seconds.
    pub connect_timeout_s: f64,
    /// Front ends in all.
    pub front_ends: usize,
    /// Descriptors that each may hold.
    pub sockets: usize,
}

/// One front end, over all its processes.
pub struct FrontEnd {
    facts: Arc<Facts>,
    discovery: Arc<Discovery>,
    doors: Arc<Doors>,
    launch: Arc<Launch>,
    place: Place,
    address: SocketAddr,
    number: u64,
    process: Option<Process>,
}

struct Process {
    child: Child,
    account: BufReader<ChildStdout>,
    /// The coordinators that it was told of, the last one in force.
    feeds: Vec<Feed>,
    known: u64,
    site: Site,
    path: PathBuf,
}

impl FrontEnd {
    /// One that is not started yet.
    pub fn new(
        facts: Arc<Facts>,
        discovery: Arc<Discovery>,
        doors: Arc<Doors>,
        launch: Arc<Launch>,
        place: Place,
    ) -> FrontEnd {
        let address = doors[place].read().expect("not poisoned").address;
        FrontEnd {
            facts,
            discovery,
            doors,
            launch,
            place,
            address,
            number: 0,
            process: None,
        }
    }

    fn door(&self, open: bool) {
        let door = Door {
            address: self.address,
            process: self.number,
            open,
        };
        *self.doors[self.place].write().expect("not poisoned") = door;
    }

    /// Starts the next process, with these rules for its system calls, and waits until it is ready.
    pub async fn start(&mut self, rules: &str, seed: u64) -> std::io::Result<()> {
        self.number += 1;
        let (servers, known) = self.discovery.known();
        let feed = self.discovery.feed(self.place, self.number, known).await?;
        let site = Site {
            listen: self.address,
            coordinator: feed.address,
            servers,
            connect_timeout_s: self.launch.connect_timeout_s,
            sockets: self.launch.sockets,
            seed,
            siblings: self.launch.front_ends,
            me: self.place,
        };
        let path = self
            .launch
            .folder
            .join(format!("front-{}.json", self.place));
        std::fs::write(&path, site.text())?;
        let log = self
            .launch
            .folder
            .join(format!("front-{}-{}.log", self.place, self.number));
        let mut child = Command::new(&self.launch.gateway)
            .args(["--platform", "--log", "debug"])
            .env("EDGE_CONFIG", &path)
            .env("LD_PRELOAD", shim::library())
            .env("FAULT_RULES", rules)
            .env("FAULT_SEED", seed.to_string())
            .stdout(Stdio::piped())
            .stderr(File::create(log)?)
            .kill_on_drop(true)
            .spawn()?;
        self.facts.note(Fact::Started {
            place: self.place,
            process: self.number,
        });
        let Some(stdout) = child.stdout.take() else {
            return Ok(());
        };
        let account = BufReader::new(stdout);
        let feeds = vec![feed];
        self.process = Some(Process {
            child,
            account,
            feeds,
            known,
            site,
            path,
        });
        self.ready().await;
        Ok(())
    }

    async fn ready(&mut self) {
        let began = Instant::now();
        while began.elapsed() < READY_WITHIN {
            if alive(self.address).await {
                self.facts.note(Fact::Ready {
                    place: self.place,
                    process: self.number,
                });
                return self.door(true);
            }
            if let Some(Ok(Some(_))) = self.process.as_mut().map(|p| p.child.try_wait()) {
                return self.reap().await;
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    fn signal(&mut self, signal: Signal) {
        let (place, process) = (self.place, self.number);
        let Some(pid) = self.process.as_ref().and_then(|p| p.child.id()) else {
            return;
        };
        let Some(pid) = Pid::from_raw(pid as i32) else {
            return;
        };
        let number = match signal {
            Signal::Terminate => rustix::process::Signal::TERM,
            Signal::Kill => rustix::process::Signal::KILL,
            Signal::Reload => rustix::process::Signal::HUP,
            Signal::Stop => rustix::process::Signal::STOP,
            Signal::Continue => rustix::process::Signal::CONT,
        };
        self.facts.note(Fact::Signalled {
            place,
            process,
            signal,
        });
        // One that has ended by itself is told of when it is reaped.
        let _ = kill_process(pid, number);
    }

    /// It stands still for so long.
    pub async fn stand_still(&mut self, span: Duration) {
        self.signal(Signal::Stop);
        sleep(span).await;
        self.signal(Signal::Continue);
    }

    /// A new configuration in its place: another coordinator, the old one going after a while.
    pub async fn reload(&mut self) -> std::io::Result<()> {
        let (place, number) = (self.place, self.number);
        let Some(p) = self.process.as_mut() else {
            return Ok(());
        };
        let feed = self.discovery.feed(place, number, p.known).await?;
        p.site.coordinator = feed.address;
        p.feeds.push(feed);
        let next = p.path.with_extension("next");
        std::fs::write(&next, p.site.text())?;
        std::fs::rename(&next, &p.path)?;
        self.signal(Signal::Reload);
        Ok(())
    }

    /// The coordinator that it was told of before the last goes.
    pub fn forget_old_feeds(&mut self) {
        if let Some(p) = self.process.as_mut() {
            let last = p.feeds.len().saturating_sub(1);
            p.feeds.drain(..last);
        }
    }

    /// Ends it as a planned restart does, standing still for a part of it if `still` says so.
    pub async fn terminate(&mut self, still: Duration) {
        if self.process.is_none() {
            return;
        }
        let told = Instant::now();
        self.signal(Signal::Terminate);
        if !still.is_zero() {
            self.stand_still(still).await;
        }
        sleep((CONNECTIONS_AFTER + REQUESTS_AFTER).saturating_sub(told.elapsed())).await;
        self.door(false);
        let left = KILL_AFTER.saturating_sub(told.elapsed());
        let Some(p) = self.process.as_mut() else {
            return;
        };
        if timeout(left, p.child.wait()).await.is_err() {
            self.signal(Signal::Kill);
        }
        self.reap().await;
    }

    /// Kills it outright; what it held is lost.
    pub async fn kill(&mut self) {
        self.signal(Signal::Kill);
        self.door(false);
        self.reap().await;
    }

    /// Waits for its end.
    async fn reap(&mut self) {
        let Some(mut p) = self.process.take() else {
            return;
        };
        self.door(false);
        let code = p.child.wait().await.ok().and_then(|s| s.code());
        let mut text = String::new();
        let _ = p.account.read_to_string(&mut text).await;
        let account = text.lines().last().unwrap_or("").to_string();
        self.facts.note(Fact::Exited {
            place: self.place,
            process: self.number,
            code,
            account,
        });
    }

    /// Looks whether it has ended by itself.
    pub async fn look(&mut self) {
        if let Some(Ok(Some(_))) = self.process.as_mut().map(|p| p.child.try_wait()) {
            self.reap().await;
        }
    }

    /// Whether a process runs.
    pub fn runs(&self) -> bool {
        self.process.is_some()
    }
}

async fn alive(address: SocketAddr) -> bool {
    let asked = async {
        let mut socket = TcpStream::connect(address).await.ok()?;
        socket
            .write_all(b"GET /alive HTTP/1.1\r\nHost: soak\r\nConnection: close\r\n\r\n")
            .await
            .ok()?;
        let mut line = String::new();
        BufReader::new(socket).read_line(&mut line).await.ok()?;
        line.contains(" 200 ").then_some(())
    };
    timeout(Duration::from_secs(1), asked)
        .await
        .ok()
        .flatten()
        .is_some()
}

/// Addresses at which nobody listens, each on an address of its own: connections that go out from 127.0.0.1 can't take their
/// ports while a front end is down.
pub fn free_addresses(count: usize) -> std::io::Result<Vec<SocketAddr>> {
    let address =
        |n: usize| SocketAddr::from(([127, 0, 1 + (n / 250) as u8, 1 + (n % 250) as u8], 0));
    (0..count)
        .map(|n| std::net::TcpListener::bind(address(n))?.local_addr())
        .collect()
}

/// A folder of this run.
pub fn folder(seed: u64) -> std::io::Result<PathBuf> {
    let folder =
        Path::new(&std::env::temp_dir()).join(format!("tansy-soak-{}-{seed}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    Ok(folder)
}
