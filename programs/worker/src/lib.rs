//! Runs the stand-in worker of `tansy-standin-worker` as a program: arguments, signals and exit codes.
//!
//! The functions are read from the gateway's settings file.

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

/// Load time of a function whose settings don't specify one.
const DEFAULT_LOAD_TIME_US: i64 = 100_000;
/// Longest wait of the event loop before it checks whether the worker has to stop.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// A stand-in worker that serves the Open Inference Protocol with functions that are loaded on demand.
///
/// No model is run: the response contains each input tensor as an output. The functions with their memory, lanes and load
/// times are read from the gateway's settings file. The request parameters `pieces` (number of response messages) and
/// `work_ms` control a response. Faults are set on the control port with GET /fault/FAULT: silent, silent-after=N,
/// cut-after=N, slow=X, refuse, reset=CODE, corrupt, twice, no-trailers, status=CODE, or clear. Other requests are GET /cut
/// (close all connections), /shed (send GOAWAY), /restart (restart cold, with no functions loaded) and /state.
///
/// Once the worker is serving, it prints `ready grpc=ADDRESS control=ADDRESS` on standard output. Exit codes: 0 after
/// SIGTERM or SIGINT, 1 if it can't start, stops on an error or fails under overload, 2 for invalid arguments or settings.
#[derive(Parser)]
#[command(name = "tansy-worker", version)]
struct Arguments {
    /// The gateway's settings file, which defines the functions.
    #[arg(long)]
    settings: PathBuf,
    /// Name of the worker.
    #[arg(long, default_value = "worker")]
    name: String,
    /// Address of the gRPC port; port 0 selects a free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Address of the control port; port 0 selects a free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    control: SocketAddr,
    /// Memory for instances, MB.
    #[arg(long, default_value_t = 8000.0)]
    memory_mb: f64,
    /// Largest number of concurrent loads.
    #[arg(long, default_value_t = 4)]
    loads: usize,
    /// Largest number of waiting calls.
    #[arg(long, default_value_t = 1000)]
    queue: usize,
    /// Cores: capacity of the warm worker, in seconds of work per second.
    #[arg(long, default_value_t = 4.0)]
    cores: f64,
    /// Work of a call that doesn't specify it, milliseconds.
    #[arg(long, default_value_t = 2.0)]
    work_ms: f64,
    /// Start cold, with the slow start of the settings; otherwise the worker starts with full capacity.
    #[arg(long)]
    cold: bool,
    /// Log filter, such as `info` or `tansy_net_grpc=debug`.
    #[arg(long, default_value = "warn")]
    log: String,
}

/// Invalid arguments or settings; exit code 2.
#[derive(Debug, thiserror::Error)]
enum ArgumentError {
    #[error("--log {0:?}: not a valid log filter")]
    LogFilter(String),
    #[error("--settings {}: {error}", path.display())]
    ReadSettings {
        path: PathBuf,
        error: std::io::Error,
    },
    #[error(transparent)]
    Settings(#[from] tansy_settings::Errors),
}

/// A failure to start or to continue; exit code 1.
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

/// Runs the program. The first argument is the program's name.
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
        Ok(StopReason::Signal) => ExitCode::SUCCESS,
        Ok(StopReason::FailedUnderOverload) => {
            let name = &arguments.name;
            eprintln!("{name}: failed under overload: sent more work than a cold worker can serve");
            ExitCode::from(1)
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(1)
        }
    }
}

/// Starts logging to standard error with the filter of `--log`.
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

/// Builds the worker's configuration from the arguments and the gateway's settings file.
fn read_profile(arguments: &Arguments) -> Result<Profile, ArgumentError> {
    let path = &arguments.settings;
    let text = std::fs::read_to_string(path).map_err(|error| ArgumentError::ReadSettings {
        path: path.clone(),
        error,
    })?;
    let settings = tansy_settings::parse_settings(&path.display().to_string(), &text)?;
    let dispatch = &settings.dispatch;
    let function = |spec: &tansy_settings::FunctionSpec| Function {
        name: spec.name.clone(),
        memory_mb: spec.memory_mb,
        lanes: spec.lanes,
        load_time: spec.load_time.unwrap_or(DEFAULT_LOAD_TIME_US),
        default_work: (arguments.work_ms * 1000.0) as i64,
    };
    Ok(Profile {
        name: arguments.name.clone(),
        functions: dispatch.functions.iter().map(function).collect(),
        memory_mb: arguments.memory_mb,
        idle_timeout: dispatch.settings.idle_timeout,
        max_concurrent_loads: arguments.loads.max(1),
        max_waiting_calls: arguments.queue,
        miss_policy: match dispatch.settings.miss_policy {
            tansy_settings::MissPolicy::Load => MissPolicy::Load,
            tansy_settings::MissPolicy::Miss => MissPolicy::Miss,
        },
        cores: arguments.cores,
        slow_start_from: dispatch.settings.slow_start_from,
        slow_start_window: dispatch.settings.slow_start_window,
        overload_multiple: dispatch.settings.overload_multiple,
        overload_window: dispatch.settings.overload_window,
    })
}

/// Why the worker stopped.
enum StopReason {
    /// SIGTERM or SIGINT.
    Signal,
    /// Overload during the slow start.
    FailedUnderOverload,
}

/// Serves until a signal arrives or the worker fails under overload.
fn run(arguments: &Arguments, profile: Profile) -> Result<StopReason, RunError> {
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
    let signalled = Rc::new(Cell::new(false));
    let on_signal = signalled.clone();
    let signals = IgnoreInterrupts(Signals::new(&[Signal::SIGTERM, Signal::SIGINT])?);
    event_loop
        .handle()
        .insert_source(signals, move |_, _, ()| on_signal.set(true))
        .map_err(|error| RunError::Signals(error.to_string()))?;
    while !signalled.get() && !standin.failed_under_overload() {
        event_loop.dispatch(Some(POLL_INTERVAL), &mut ())?;
    }
    Ok(match standin.failed_under_overload() {
        true => StopReason::FailedUnderOverload,
        false => StopReason::Signal,
    })
}
