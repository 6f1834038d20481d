//! The stand-in worker as a program: arguments, signals, exit codes.
//!
//! The worker itself is `tansy-standin-worker`; functions come from the gateway's settings file.

use calloop::signals::{Signal, Signals};
use calloop::EventLoop;
use clap::Parser;
use std::cell::Cell;
use std::ffi::OsString;
use std::io::{IsTerminal, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tansy_net_sockets::interrupt::IgnoreInterrupts;
use tansy_net_sockets::socket::listen;
use tansy_net_sockets::Spawner;
use tansy_standin_worker::{Function, MissPolicy, Profile, Standin};
use tracing_subscriber::EnvFilter;

/// A stand-in worker: the Open Inference Protocol with functions that are loaded on demand.
///
/// It computes nothing: every input tensor comes back as an output. Functions, their memory, lanes and load times are
/// those of the gateway's settings file. Request parameters `pieces` and `work_ms` shape an answer. Faults are set on
/// the control port: GET /fault/silent, silent-after=N, cut-after=N, slow=X, refuse, reset=CODE, corrupt, twice,
/// no-trailers, status=CODE or clear; GET /cut, /shed (GOAWAY), /restart (empty and cold), /state.
///
/// Once it serves it prints `ready grpc=ADDRESS control=ADDRESS` on standard output. Exit codes: 0 after SIGTERM or
/// SIGINT, 1 if it could not go on or fell over, 2 for wrong arguments or settings.
#[derive(Parser)]
#[command(name = "tansy-worker", version)]
struct Arguments {
    /// The gateway's settings file, for the functions.
    #[arg(long)]
    settings: PathBuf,
    /// Its name.
    #[arg(long, default_value = "worker")]
    name: String,
    /// Address of the gRPC port; port 0: any free one.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Address of the control port.
    #[arg(long, default_value = "127.0.0.1:0")]
    control: SocketAddr,
    /// Memory, MB.
    #[arg(long, default_value_t = 8000.0)]
    memory_mb: f64,
    /// Loads at a time.
    #[arg(long, default_value_t = 4)]
    loads: usize,
    /// Calls that may wait.
    #[arg(long, default_value_t = 1000)]
    queue: usize,
    /// Cores: work it does a second when warm, in seconds.
    #[arg(long, default_value_t = 4.0)]
    cores: f64,
    /// Work of a call that names none, milliseconds.
    #[arg(long, default_value_t = 2.0)]
    work_ms: f64,
    /// Start cold, as the settings' worker record has it; otherwise it is taken as having run for long.
    #[arg(long)]
    cold: bool,
    /// What is logged.
    #[arg(long, default_value = "warn")]
    log: String,
}

/// Wrong arguments or settings: exit code 2.
#[derive(Debug, thiserror::Error)]
enum ArgumentError {
    #[error("--log {0:?}: no filter")]
    LogFilter(String),
    #[error("--settings {}: {error}", path.display())]
    ReadSettings {
        path: PathBuf,
        error: std::io::Error,
    },
    #[error(transparent)]
    Settings(#[from] tansy_settings::Errors),
}

/// The worker can't start or go on: exit code 1.
#[derive(Debug, thiserror::Error)]
enum RunError {
    #[error("--listen {address}: {error}")]
    Listen {
        address: SocketAddr,
        error: std::io::Error,
    },
    #[error("--control {address}: {error}")]
    Control {
        address: SocketAddr,
        error: std::io::Error,
    },
    #[error(transparent)]
    EventLoop(#[from] calloop::Error),
    #[error("{0}")]
    Signals(String),
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

/// Runs the program with its arguments, the first its name.
pub fn main(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let arguments = Arguments::parse_from(arguments);
    let profile = match start_logging(&arguments).and_then(|()| read_profile(&arguments)) {
        Ok(profile) => profile,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    match run(&arguments, profile) {
        Ok(Ended::BySignal) => ExitCode::SUCCESS,
        Ok(Ended::Fallen) => {
            let name = &arguments.name;
            eprintln!("{name}: fell over: sent more than a cold worker bears");
            ExitCode::from(1)
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(1)
        }
    }
}

/// Logs on standard error by the filter of `--log`.
fn start_logging(arguments: &Arguments) -> Result<(), ArgumentError> {
    let filter = EnvFilter::try_new(format!("calloop=error,{}", arguments.log))
        .map_err(|_| ArgumentError::LogFilter(arguments.log.clone()))?;
    tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_ansi(std::io::stderr().is_terminal())
        .init();
    Ok(())
}

/// The worker's configuration, from the arguments and the gateway's settings file.
fn read_profile(arguments: &Arguments) -> Result<Profile, ArgumentError> {
    let path = &arguments.settings;
    let text = std::fs::read_to_string(path).map_err(|error| ArgumentError::ReadSettings {
        path: path.clone(),
        error,
    })?;
    let settings = tansy_settings::settings(&path.display().to_string(), &text)?;
    let front = &settings.dispatch;
    let function = |spec: &tansy_settings::FunctionSpec| Function {
        name: spec.name.clone(),
        memory_mb: spec.memory_mb,
        lanes: spec.lanes,
        load_time: spec.load_time.unwrap_or(100_000),
        default_work: (arguments.work_ms * 1000.0) as i64,
    };
    Ok(Profile {
        name: arguments.name.clone(),
        functions: front.functions.iter().map(function).collect(),
        memory_mb: arguments.memory_mb,
        idle_timeout: front.settings.idle_timeout,
        max_concurrent_loads: arguments.loads.max(1),
        max_waiting_calls: arguments.queue,
        miss_policy: match front.settings.miss_policy {
            tansy_settings::MissPolicy::Load => MissPolicy::Load,
            tansy_settings::MissPolicy::Miss => MissPolicy::Miss,
        },
        cores: arguments.cores,
        slow_start_from: front.settings.slow_start_from,
        slow_start_window: front.settings.slow_start_window,
        overload_multiple: front.settings.overload_multiple,
        overload_window: front.settings.overload_window,
    })
}

/// Why the worker has stopped.
enum Ended {
    /// SIGTERM or SIGINT.
    BySignal,
    /// It was sent more than a cold worker bears.
    Fallen,
}

/// Serves until a signal, or until it falls over.
fn run(arguments: &Arguments, profile: Profile) -> Result<Ended, RunError> {
    let mut event_loop: EventLoop<'static, ()> = EventLoop::try_new()?;
    let spawner = Spawner::new(event_loop.handle())?;
    let address = arguments.listen;
    let listener = listen(address, false).map_err(|error| RunError::Listen { address, error })?;
    let address = arguments.control;
    let control = listen(address, false).map_err(|error| RunError::Control { address, error })?;
    let grpc_address = listener.local_addr()?;
    let control_address = control.local_addr()?;
    let standin = Standin::start(spawner, listener, profile, !arguments.cold)?;
    standin.control(control)?;
    println!("ready grpc={grpc_address} control={control_address}");
    std::io::stdout().flush()?;
    let stop = Rc::new(Cell::new(false));
    let on_signal = stop.clone();
    let signals = IgnoreInterrupts(Signals::new(&[Signal::SIGTERM, Signal::SIGINT])?);
    event_loop
        .handle()
        .insert_source(signals, move |_, _, ()| on_signal.set(true))
        .map_err(|error| RunError::Signals(error.to_string()))?;
    while !stop.get() && !standin.failed_under_overload() {
        event_loop.dispatch(Some(Duration::from_millis(500)), &mut ())?;
    }
    Ok(match standin.failed_under_overload() {
        true => Ended::Fallen,
        false => Ended::BySignal,
    })
}
